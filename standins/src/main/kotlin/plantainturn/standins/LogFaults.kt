package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * The faults of [LogStandIn] that are switched on. A stream that [onlyStreams] does not name is unaffected, unless that
 * is empty.
 *
 * @property outage how the service behaves
 * @property delayMilliseconds how long each call takes longer
 * @property loseAnswers appends whose connection breaks after they took effect, counted down
 * @property lateAppends appends whose connection breaks at once and that take effect later, counted down
 * @property lateMilliseconds how much later those take effect
 */
@Serializable
public data class LogFaults(
    val outage: OutageMode = OutageMode.NONE,
    val delayMilliseconds: Long = 0,
    val loseAnswers: Int = 0,
    val lateAppends: Int = 0,
    val lateMilliseconds: Long = 500,
    val onlyStreams: List<String> = emptyList(),
)
