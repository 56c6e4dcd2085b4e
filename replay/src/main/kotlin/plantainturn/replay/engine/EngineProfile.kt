package plantainturn.replay.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The service-time model of an engine.
 *
 * An engine runs steps. A step generates one token for each running answer and computes part of one prompt. It takes
 * the base time, the sequence time for each answer, and the time of the prompt's tokens; the last two shrink with the
 * number of accelerators.
 *
 * @property sequenceTime for each running answer, on one accelerator
 * @property promptTokensPerSecond prompt tokens computed a second, on one accelerator
 * @property chunkTokens prompt tokens computed in one step at most
 * @property loadMegabytesPerSecond weights that one load brings in a second at full speed
 * @property reportPeriod the time between two reports
 * @property reportLag the time until a report is seen
 * @property orderDelay the time until an order arrives
 */
internal data class EngineProfile(
    val stepBase: Duration = 7.milliseconds,
    val sequenceTime: Duration = 3.milliseconds,
    val promptTokensPerSecond: Double = 10_000.0,
    val chunkTokens: Int = 256,
    val loadMegabytesPerSecond: Double = 2_000.0,
    val reportPeriod: Duration = 0.5.seconds,
    val reportLag: Duration = 0.3.seconds,
    val orderDelay: Duration = 20.milliseconds,
    val shortestAdapterLoad: Duration = 5.milliseconds,
    val longestAdapterLoad: Duration = 14.milliseconds,
)
