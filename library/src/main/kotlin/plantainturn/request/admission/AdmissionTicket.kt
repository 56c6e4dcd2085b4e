package plantainturn.request.admission

import plantainturn.process.time.Moment
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.TeamName

/**
 * A request's claim to be started.
 *
 * @property share the weight of the team
 * @property waitingLimit requests of the team that may wait at this node
 * @property latestStart the moment after which starting is no longer worth it
 * @property resumed whether the request was started before and goes on, so that it goes before all others of its team
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
