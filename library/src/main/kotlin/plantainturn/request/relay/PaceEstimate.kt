package plantainturn.request.relay

/**
 * How fast an instance works, as known at one moment.
 *
 * @property stated how many times as long as usual its work takes at the moment by its own word; null if it says
 *   nothing
 * @property learned the usual time of its work, in seconds or in proportion to the nominal one; null if unknown
 * @property freshness how far [learned] still holds, from 1 just after a sample to 0 long after the last one
 * @property failureShare share of the recent requests that it failed
 * @property isInUse whether dispatch goes by this estimate: the instance has stated how fast it works
 */
public data class PaceEstimate(
    val stated: Double?,
    val learned: Double?,
    val freshness: Double,
    val failureShare: Double,
    val reason: PaceReason,
    val isInUse: Boolean = true,
) {
    /**
     * Returns how long work takes at the moment, in the unit of [learned].
     *
     * Without samples it approaches [least], the shortest usual time of the instances to choose from, so that a slow
     * instance is tried again and never looks faster than one that is known.
     */
    public fun inUse(least: Double): Double {
        val usual = learned?.let { least + (it - least) * freshness } ?: least
        return usual * (stated ?: 1.0)
    }
}
