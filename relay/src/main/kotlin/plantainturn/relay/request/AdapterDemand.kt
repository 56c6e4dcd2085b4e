package plantainturn.relay.request

/**
 * How much one adapter is used.
 *
 * @property worthPerSecond what its requests are worth, a fading average
 * @property running requests that use it now
 */
public data class AdapterDemand(
    val worthPerSecond: Double,
    val running: Int,
) {
    /** Returns the use of both together. */
    public operator fun plus(other: AdapterDemand): AdapterDemand =
        AdapterDemand(worthPerSecond + other.worthPerSecond, running + other.running)
}
