package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.request.quota.AdmittedTotals
import plantainturn.version.route.ClientAccountName

/**
 * What a process has admitted of the accounts' quotas without asking, as [AdmittedTotals].
 *
 * @property units the total of each account since the process started, less what was given back
 */
@Serializable
internal data class AdmittedReport(
    val sequence: Long,
    val whole: Boolean,
    val units: Map<String, Long>,
) {
    fun decode(): AdmittedTotals = AdmittedTotals(sequence, whole, units.mapKeys { ClientAccountName(it.key) })

    companion object {
        fun of(totals: AdmittedTotals): AdmittedReport =
            AdmittedReport(totals.sequence, totals.whole, totals.units.mapKeys { it.key.value })
    }
}
