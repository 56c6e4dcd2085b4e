package plantainturn.request.admission

import plantainturn.process.time.Moment
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.TeamName

/**
 * Describes a request that asks to be started.
 *
 * @property share the weight of the team in fair queueing
 * @property waitingLimit the maximum number of requests of the team that may wait at this node
 * @property latestStart the moment by which the request must start; after it the request is refused
 * @property resumed whether the request was started before and continues; it goes ahead of all others of its team
 */
public data class AdmissionTicket(
    val target: ModelName,
    val team: TeamName,
    val share: Int,
    val waitingLimit: Int,
    val priority: RequestPriority,
    val latestStart: Moment,
    val resumed: Boolean = false,
)
