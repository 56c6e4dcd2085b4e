package plantainturn.request.relay

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Work at one instance, summed over requests.
 *
 * @property prefillTokens prompt tokens that the instance has yet to process
 * @property usedCacheTokens KV cache tokens that the requests use
 * @property prefillShare recent fraction of an engine's time spent on prefill
 */
@Serializable
public data class WorkTotals(
    val running: Int,
    @SerialName("unreadTokens") val prefillTokens: Int,
    @SerialName("heldTokens") val usedCacheTokens: Int,
    @SerialName("readingShare") val prefillShare: Double = 0.0,
) {
    /** Returns the sum of both totals. */
    public operator fun plus(other: WorkTotals): WorkTotals =
        WorkTotals(
            running + other.running,
            prefillTokens + other.prefillTokens,
            usedCacheTokens + other.usedCacheTokens,
            prefillShare + other.prefillShare,
        )

    /** Returns these totals without [other]. */
    public operator fun minus(other: WorkTotals): WorkTotals =
        WorkTotals(
            running - other.running,
            prefillTokens - other.prefillTokens,
            usedCacheTokens - other.usedCacheTokens,
            (prefillShare - other.prefillShare).coerceAtLeast(0.0),
        )

    public companion object {
        /** No work. */
        public val NONE: WorkTotals = WorkTotals(0, 0, 0)
    }
}
