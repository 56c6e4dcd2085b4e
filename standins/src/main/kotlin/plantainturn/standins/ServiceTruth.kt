package plantainturn.standins

import kotlinx.serialization.Serializable

/**
 * What [ServiceStandIn] executed.
 *
 * @property executions executions in all
 * @property byKey executions by idempotency key
 * @property byRequest executions by request identifier
 */
@Serializable
public data class ServiceTruth(
    val executions: Long,
    val byKey: Map<String, Int>,
    val byRequest: Map<String, Int>,
    val faults: ServiceFaults,
)
