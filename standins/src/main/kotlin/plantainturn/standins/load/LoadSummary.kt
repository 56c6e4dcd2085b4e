package plantainturn.standins.load

import kotlinx.serialization.Serializable

/**
 * What came of a load run.
 *
 * @property answered requests whose whole answer arrived and is the right one
 * @property wrong requests that were told to be answered whole and whose answer is not the right one
 * @property dropped arrivals that were not sent since too many requests were in flight
 * @property duplicateExecutions keys that the services executed more than once
 * @property answeredUnexecuted keys whose call was answered although no service executed it
 * @property codes answers by result code; 0 stands for broken connections
 */
@Serializable
public data class LoadSummary(
    val seed: Long,
    val requests: Int,
    val answered: Int,
    val wrong: Int,
    val notRun: Int,
    val failed: Int,
    val unknown: Int,
    val dropped: Int,
    val firstTokenMilliseconds: LatencySummary,
    val tokenGapMilliseconds: LatencySummary,
    val calls: Int,
    val callsAnswered: Int,
    val callsNotRun: Int,
    val callsUnknown: Int,
    val duplicateExecutions: Int,
    val answeredUnexecuted: Int,
    val codes: Map<Int, Int>,
)
