package plantainturn.request.relay

import kotlinx.serialization.Serializable

/** Work at one instance, summed over requests. */
@Serializable
public data class WorkTotals(
    val running: Int,
    val unreadTokens: Int,
    val heldTokens: Int,
) {
    /** Returns the sum of both. */
    public operator fun plus(other: WorkTotals): WorkTotals =
        WorkTotals(running + other.running, unreadTokens + other.unreadTokens, heldTokens + other.heldTokens)

    /** Returns what is left without [other], never below nothing. */
    public operator fun minus(other: WorkTotals): WorkTotals =
        WorkTotals(
            (running - other.running).coerceAtLeast(0),
            (unreadTokens - other.unreadTokens).coerceAtLeast(0),
            (heldTokens - other.heldTokens).coerceAtLeast(0),
        )

    public companion object {
        /** No work. */
        public val NONE: WorkTotals = WorkTotals(0, 0, 0)
    }
}
