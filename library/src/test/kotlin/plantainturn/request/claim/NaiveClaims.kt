package plantainturn.request.claim

/** The claims' rules written plainly: it keeps every entry and looks through all of them each time. */
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
        val owner = granted.lastOrNull { it.key == request.key && !freed(it) } ?: return ClaimDecision.Granted
        val outcome = outcomeOf(owner)
        return when {
            owner.claim == request.claim -> ClaimDecision.Void
            owner.fingerprint != request.fingerprint -> ClaimDecision.Reused
            outcome == null -> ClaimDecision.InProgress
            else -> ClaimDecision.Settled(outcome)
        }
    }

    /** Whether the owner gave the key free before it told another end than unknown. */
    private fun freed(owner: ClaimEntry.Request): Boolean {
        val own = own(owner)
        val release = own.indexOfFirst { it is ClaimEntry.Release }
        val answer = own.indexOfFirst { it is ClaimEntry.Settle && it.outcome != ClaimOutcome.Unknown }
        return release >= 0 && (answer < 0 || release < answer)
    }

    private fun outcomeOf(owner: ClaimEntry.Request): ClaimOutcome? {
        val own = own(owner)
        val told = own.filterIsInstance<ClaimEntry.Settle>().map { it.outcome }
        val unknown = told.isNotEmpty() || own.any { it is ClaimEntry.Abandon }
        return told.firstOrNull { it != ClaimOutcome.Unknown } ?: ClaimOutcome.Unknown.takeIf { unknown }
    }

    private fun own(owner: ClaimEntry.Request): List<ClaimEntry> =
        entries
            .drop(entries.indexOfFirst { it === owner })
            .filter { it.claim == owner.claim && it.key == owner.key }
}
