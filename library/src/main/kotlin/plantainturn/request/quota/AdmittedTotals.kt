package plantainturn.request.quota

import plantainturn.version.route.ClientAccountName

/**
 * What a process has admitted without asking, less all that was given back, since it started.
 *
 * @property sequence increases with each message of the process that carries totals
 * @property whole whether accounts that are missing have a total of zero, otherwise theirs have not changed
 * @property units the total of each account; negative if more that the desk had granted was given back
 */
public data class AdmittedTotals(
    val sequence: Long,
    val whole: Boolean,
    val units: Map<ClientAccountName, Long>,
)
