package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * Settings of [LogStandIn].
 *
 * @property port 0 lets the system pick one
 * @property retentionRecords records of a stream that are kept
 * @property retentionBytes payload bytes of a stream that are kept
 * @property retentionMilliseconds the time for which a record is kept
 */
@Serializable
public data class LogStandInSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val retentionRecords: Int = 100_000,
    val retentionBytes: Long = DEFAULT_RETENTION_BYTES,
    val retentionMilliseconds: Long = DEFAULT_RETENTION_MILLISECONDS,
) {
    private companion object {
        const val DEFAULT_RETENTION_BYTES = 67_108_864L
        const val DEFAULT_RETENTION_MILLISECONDS = 86_400_000L
    }
}
