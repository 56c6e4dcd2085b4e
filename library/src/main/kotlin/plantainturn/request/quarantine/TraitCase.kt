package plantainturn.request.quarantine

import plantainturn.process.time.Moment

/**
 * The evidence against one trait since all nodes were last told that it was answered.
 *
 * @property isRequest whether the trait is a request as a whole
 */
internal class TraitCase(
    val isRequest: Boolean,
) {
    private class UsedGrant(
        val run: CrashEvidence,
        val until: Moment,
    )

    private class Counted(
        val value: RequestBreak,
        val until: Moment,
        var shared: Boolean,
        var contradicted: Boolean = false,
    )

    private val counted = ArrayDeque<Counted>()

    /** When the block of the trait ends; null if it is not blocked. */
    var blockedUntil: Moment? = null

    /** From when on a blocked trait may be tried again. */
    var trialAt: Moment = Moment.ORIGIN

    /** The number of trials since the trait was blocked. */
    var trials: Int = 0

    /** Until when this node may make the trial that it has claimed; null if it has claimed none or is making it. */
    var grantedUntil: Moment? = null

    private var usedGrant: UsedGrant? = null

    /** Notes that this node makes the trial that it has claimed, at [run]. */
    fun useGrant(run: CrashEvidence) {
        usedGrant = grantedUntil?.let { UsedGrant(run, it) }
        grantedUntil = null
    }

    /** Notes that the trial at [run] did not take place, so that this node may make it until the same time. */
    fun returnGrant(run: CrashEvidence) {
        val used = usedGrant?.takeIf { it.run == run } ?: return
        usedGrant = null
        if (grantedUntil == null) grantedUntil = used.until
    }

    /** Adds a break that counts until [until] and of which the other nodes are told if it is [shared]. */
    fun add(
        value: RequestBreak,
        until: Moment,
        shared: Boolean,
    ) {
        counted += Counted(value, until, shared)
        if (counted.size > MAXIMUM_BREAKS_KEPT) counted.removeFirst()
    }

    /** Removes the break of [request] at the run of [evidence], and returns whether there was one. */
    fun withdraw(
        request: RequestFingerprint,
        evidence: CrashEvidence,
    ): Boolean = counted.removeAll { it.value.traits.request == request && it.value.evidence == evidence }

    /** Notes that an answer contradicts all breaks so far, of which the other nodes are not told. */
    fun contradict(): Unit = counted.forEach { it.contradicted = true }

    /** Returns the breaks that count on this node at [now]. */
    fun breaks(now: Moment): List<RequestBreak> = counted.filter { it.until > now && !it.contradicted }.map { it.value }

    /** Returns the breaks that count at [now] on a node that knows only what all nodes are told. */
    fun shared(now: Moment): List<RequestBreak> = counted.filter { it.until > now && it.shared }.map { it.value }

    /** Returns whether no break counts at [now], here or elsewhere. */
    fun isEmpty(now: Moment): Boolean = breaks(now).isEmpty() && shared(now).isEmpty()

    /** Notes that the other nodes are told of [added] if it is known. */
    fun share(added: RequestBreak): Unit = counted.filter { it.value.isSame(added) }.forEach { it.shared = true }

    /** Returns whether [added] is known at [now], whether it counts or not. */
    fun knows(
        added: RequestBreak,
        now: Moment,
    ): Boolean = counted.any { it.until > now && it.value.isSame(added) }

    private companion object {
        /** Far more than are needed to block a trait; the rest would only be repetitions. */
        const val MAXIMUM_BREAKS_KEPT = 64
    }
}
