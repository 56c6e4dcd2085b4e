package plantainturn.relay.request

/**
 * Demand for one adapter.
 *
 * @property worthPerSecond worth of its requests per second, a decaying average
 * @property running number of requests that use it now
 */
public data class AdapterDemand(
    val worthPerSecond: Double,
    val running: Int,
) {
    /** Returns the sum of both demands. */
    public operator fun plus(other: AdapterDemand): AdapterDemand =
        AdapterDemand(worthPerSecond + other.worthPerSecond, running + other.running)
}
