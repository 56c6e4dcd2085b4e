package plantainturn.request.relay

import kotlinx.serialization.Serializable

/**
 * Work at one instance, summed over requests.
 *
 * @property readingShare part of an engine's time that it lately spent on reading prompts
 */
@Serializable
public data class WorkTotals(
    val running: Int,
    val unreadTokens: Int,
    val heldTokens: Int,
    val readingShare: Double = 0.0,
) {
    /** Returns the sum of both. */
    public operator fun plus(other: WorkTotals): WorkTotals =
        WorkTotals(
            running + other.running,
            unreadTokens + other.unreadTokens,
            heldTokens + other.heldTokens,
            readingShare + other.readingShare,
        )

    /** Returns what is left of the sum without [other]. */
    public operator fun minus(other: WorkTotals): WorkTotals =
        WorkTotals(
            running - other.running,
            unreadTokens - other.unreadTokens,
            heldTokens - other.heldTokens,
            (readingShare - other.readingShare).coerceAtLeast(0.0),
        )

    public companion object {
        /** No work. */
        public val NONE: WorkTotals = WorkTotals(0, 0, 0)
    }
}
