package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * The faults of [ServiceStandIn] that are switched on.
 *
 * @property delayMilliseconds how much longer a call takes before it is executed
 * @property answerDelayMilliseconds how long the answer is held back after the execution
 * @property crashBeforeExecution calls that crash the service before they are executed, counted down
 * @property crashAfterExecution calls that crash the service after they were executed, counted down
 * @property status the status of the answers; others than 200 are given without an execution
 */
@Serializable
public data class ServiceFaults(
    val delayMilliseconds: Long = 0,
    val answerDelayMilliseconds: Long = 0,
    val crashBeforeExecution: Int = 0,
    val crashAfterExecution: Int = 0,
    val status: Int = 200,
)
