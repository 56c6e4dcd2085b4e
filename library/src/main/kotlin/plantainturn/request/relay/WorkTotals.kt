package plantainturn.request.relay

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Work at one instance, summed over requests.
 *
 * @property prefillTokens prompt tokens that the instance has yet to process
 * @property usedCacheTokens KV cache tokens that the requests use
 * @property prefillShare recent fraction of an engine's time spent on prefill
 * @property heardMilliseconds how long ago the instance last sent something to one of the nodes that have work there,
 *   null if that is not known
 */
@Serializable
public data class WorkTotals(
    val running: Int,
    @SerialName("unreadTokens") val prefillTokens: Int,
    @SerialName("heldTokens") val usedCacheTokens: Int,
    @SerialName("readingShare") val prefillShare: Double = 0.0,
    @SerialName("heard") val heardMilliseconds: Long? = null,
) {
    /** Returns the sum of both totals. */
    public operator fun plus(other: WorkTotals): WorkTotals =
        WorkTotals(
            running + other.running,
            prefillTokens + other.prefillTokens,
            usedCacheTokens + other.usedCacheTokens,
            prefillShare + other.prefillShare,
            listOfNotNull(heardMilliseconds, other.heardMilliseconds).minOrNull(),
        )

    /** Returns these totals without [other]. */
    public operator fun minus(other: WorkTotals): WorkTotals =
        WorkTotals(
            running - other.running,
            prefillTokens - other.prefillTokens,
            usedCacheTokens - other.usedCacheTokens,
            (prefillShare - other.prefillShare).coerceAtLeast(0.0),
            heardMilliseconds,
        )

    /** Returns these totals as they are after [milliseconds] without news. */
    public fun aged(milliseconds: Long): WorkTotals =
        if (heardMilliseconds == null) this else copy(heardMilliseconds = heardMilliseconds + milliseconds)

    public companion object {
        /** No work. */
        public val NONE: WorkTotals = WorkTotals(0, 0, 0)
    }
}
