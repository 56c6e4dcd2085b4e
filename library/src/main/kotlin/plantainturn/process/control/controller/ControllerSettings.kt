package plantainturn.process.control.controller

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timing of a controller.
 *
 * @property tickPeriod the time between two rounds, each of which reads reports, plans and issues orders
 * @property orderDelayBound the longest time between the end of a call that sent an order and its effect being visible
 * in the engine's state, including a pause of the sender before the call; memory safety on upstreams that ignore fences
 * depends on it
 * @property resendAfter the time after which an order without an answer is sent again
 * @property maximumSends the number of calls after which an order without an answer is left in doubt
 * @property reportStaleness the age of its latest report beyond which an engine gets no new loads
 * @property weightStoreShare the fraction of the weight store's limits that this shard may use
 */
public data class ControllerSettings(
    val tickPeriod: Duration = 250.milliseconds,
    val orderDelayBound: Duration = 5.seconds,
    val resendAfter: Duration = 1.seconds,
    val maximumSends: Int = 4,
    val reportStaleness: Duration = 5.seconds,
    val weightStoreShare: Double = 1.0,
) {
    init {
        require(tickPeriod.isPositive()) { "tickPeriod must be positive" }
        require(orderDelayBound.isPositive()) { "orderDelayBound must be positive" }
        require(resendAfter.isPositive()) { "resendAfter must be positive" }
        require(maximumSends > 0) { "maximumSends must be positive" }
        require(reportStaleness > tickPeriod) { "reportStaleness must be longer than tickPeriod" }
        require(weightStoreShare > 0.0 && weightStoreShare <= 1.0) { "weightStoreShare must be in (0, 1]" }
    }
}
