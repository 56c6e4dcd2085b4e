package plantainturn.request.claim

/** Reference implementation of the claim rules: keeps every entry and searches all of them for each decision. */
class NaiveClaims {
    private val entries = mutableListOf<ClaimEntry>()
    private val granted = mutableListOf<ClaimEntry.Request>()

    fun add(entry: ClaimEntry): ClaimDecision? {
        val decision = if (entry is ClaimEntry.Request) decide(entry) else null
        if (decision == ClaimDecision.Granted) granted += entry as ClaimEntry.Request
        entries += entry
        return decision
    }

    private fun decide(request: ClaimEntry.Request): ClaimDecision {
        if (entries.any { it is ClaimEntry.Release && it.claim == request.claim }) return ClaimDecision.Void
        val owner = granted.lastOrNull { it.key == request.key && !wasReleased(it) } ?: return ClaimDecision.Granted
        val outcome = outcomeOf(owner)
        return when {
            owner.claim == request.claim -> ClaimDecision.Void
            owner.fingerprint != request.fingerprint -> ClaimDecision.Reused
            outcome == null -> ClaimDecision.InProgress
            else -> ClaimDecision.Settled(outcome)
        }
    }

    /** Returns whether [owner] released the key before it settled it with an outcome other than unknown. */
    private fun wasReleased(owner: ClaimEntry.Request): Boolean {
        val ownEntries = entriesOf(owner)
        val release = ownEntries.indexOfFirst { it is ClaimEntry.Release }
        val answer = ownEntries.indexOfFirst { it is ClaimEntry.Settle && it.outcome != ClaimOutcome.Unknown }
        return release >= 0 && (answer < 0 || release < answer)
    }

    private fun outcomeOf(owner: ClaimEntry.Request): ClaimOutcome? {
        val ownEntries = entriesOf(owner)
        val outcomes = ownEntries.filterIsInstance<ClaimEntry.Settle>().map { it.outcome }
        val unknown = outcomes.isNotEmpty() || ownEntries.any { it is ClaimEntry.Abandon }
        return outcomes.firstOrNull { it != ClaimOutcome.Unknown } ?: ClaimOutcome.Unknown.takeIf { unknown }
    }

    private fun entriesOf(owner: ClaimEntry.Request): List<ClaimEntry> =
        entries
            .drop(entries.indexOfFirst { it === owner })
            .filter { it.claim == owner.claim && it.key == owner.key }
}
