package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * The faults of [EngineStandIn] that are switched on.
 *
 * @property refuseGenerations whether requests are refused as not run
 * @property silent whether nothing is answered at all, reports included
 * @property reportsUnavailable whether reports are answered with an error
 * @property reportDelayMilliseconds how long a report is held back
 * @property slowdown how many times longer tokens take
 * @property breakStreams streams that break after [faultAfterTokens] tokens, counted down
 * @property silentStreams streams that fall silent after [faultAfterTokens] tokens, counted down
 * @property faultAfterTokens tokens of an attempt before its stream breaks or falls silent
 * @property doubleChunks whether each token is sent twice
 * @property crossChunks whether every other token is sent before the one that precedes it
 * @property loseOrders orders that are lost, and their connection broken, counted down
 * @property loseOrderAnswers orders that take effect and whose connection breaks, counted down
 * @property lateOrders orders whose connection breaks and that arrive later, counted down
 * @property lateMilliseconds how much later those arrive
 * @property orderDelayMilliseconds how long after its acceptance an order takes effect
 */
@Serializable
public data class EngineFaults(
    val refuseGenerations: Boolean = false,
    val silent: Boolean = false,
    val reportsUnavailable: Boolean = false,
    val reportDelayMilliseconds: Long = 0,
    val slowdown: Double = 1.0,
    val breakStreams: Int = 0,
    val silentStreams: Int = 0,
    val faultAfterTokens: Int = 5,
    val doubleChunks: Boolean = false,
    val crossChunks: Boolean = false,
    val loseOrders: Int = 0,
    val loseOrderAnswers: Int = 0,
    val lateOrders: Int = 0,
    val lateMilliseconds: Long = 500,
    val orderDelayMilliseconds: Long = 0,
)
