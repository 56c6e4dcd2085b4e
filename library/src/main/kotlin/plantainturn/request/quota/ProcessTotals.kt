package plantainturn.request.quota

import plantainturn.process.time.Moment
import plantainturn.version.route.ClientAccountName

/** The totals that one process last reported, of which a desk charges the differences. */
internal class ProcessTotals {
    private val latest = HashMap<ClientAccountName, Total>()
    private var wholeKnown = false

    var heardAt = Moment.ORIGIN

    /**
     * Returns the change of each account's total.
     *
     * A total that was first heard after it had grown counts as unchanged: an earlier desk was told of it.
     */
    fun update(totals: AdmittedTotals): Map<ClientAccountName, Long> {
        val changes = HashMap<ClientAccountName, Long>()
        for ((account, units) in totals.units) {
            val before = latest[account]
            if (before != null && before.sequence >= totals.sequence) continue
            latest[account] = Total(units, totals.sequence)
            val base = before?.units ?: if (wholeKnown) 0 else units
            if (units != base) changes[account] = units - base
        }
        wholeKnown = wholeKnown || totals.whole
        return changes
    }

    private class Total(
        val units: Long,
        val sequence: Long,
    )
}
