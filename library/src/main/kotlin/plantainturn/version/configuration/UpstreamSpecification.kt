package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * A server that the system routes to.
 *
 * @property address base URL with an IP number, such as `http://127.0.0.1:8000`
 * @property failureDomain the failure domain it is in
 * @property kind what runs on it
 * @property accelerators the number of accelerators; 0 for a plain service
 * @property memoryMegabytes accelerator memory, all accelerators together
 * @property cacheReserveMegabytes accelerator memory that weights never take, kept for the KV cache
 * @property concurrency requests that it is expected to run at once
 * @property refusesOldFences whether it refuses orders whose fence is below the highest it has seen
 */
@Serializable
public data class UpstreamSpecification(
    val address: String,
    val failureDomain: FailureDomain,
    val kind: UpstreamKind,
    val accelerators: Int = 0,
    val memoryMegabytes: Long = 0,
    val cacheReserveMegabytes: Long = 0,
    val concurrency: Int = DEFAULT_CONCURRENCY,
    val refusesOldFences: Boolean = false,
) {
    /** Accelerator memory that weights may take, in megabytes. */
    public val weightCapacityMegabytes: Long
        get() = memoryMegabytes - cacheReserveMegabytes

    private companion object {
        const val DEFAULT_CONCURRENCY = 16
    }
}
