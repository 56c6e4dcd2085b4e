package plantainturn.replay.trace

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * What a generated trace looks like.
 *
 * @property requestsPerSecond interactive requests a second, the average over the trace before the surge
 * @property skew the exponent of the Zipf distribution of the models' base demand
 * @property adapterShare the share of requests that go to an adapter of the model
 * @property burstFactor how far the demand for each model rises once in the trace
 * @property burstLength how long each rise lasts, at least and at most
 * @property surgeFactor how far all demand rises in the middle of the trace, 1 for not at all
 * @property surgeLength how long that lasts
 * @property batches how many bulks of batch requests are handed in
 * @property requestsPerBatch the size of each
 * @property serviceCallsPerSecond calls to the plain service a second
 */
internal data class WorkloadShape(
    val duration: Duration,
    val requestsPerSecond: Double,
    val skew: Double = 0.8,
    val adapterShare: Double = 0.4,
    val burstFactor: Double = 10.0,
    val burstLength: ClosedRange<Duration> = 3.minutes..8.minutes,
    val surgeFactor: Double = 1.0,
    val surgeLength: Duration = 15.minutes,
    val batches: Int = 0,
    val requestsPerBatch: Int = 0,
    val serviceCallsPerSecond: Double = 0.5,
    val medianAnswerTokens: Double = 230.0,
    val answerSpread: Double = 0.7,
    val medianPromptTokens: Double = 400.0,
    val promptSpread: Double = 0.8,
) {
    /** Returns the shape with [factor] times the interactive demand. */
    fun scaledBy(factor: Double): WorkloadShape = copy(requestsPerSecond = requestsPerSecond * factor)
}
