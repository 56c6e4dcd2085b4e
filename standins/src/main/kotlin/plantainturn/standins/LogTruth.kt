package plantainturn.standins

import kotlinx.serialization.Serializable

/** What [LogStandIn] holds and did. */
@Serializable
public data class LogTruth(
    val streams: Map<String, LogStreamTruth>,
    val reads: Long,
    val faults: LogFaults,
)
