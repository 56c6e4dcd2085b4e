package plantainturn.request.quota

import plantainturn.process.time.Moment
import plantainturn.version.route.AccountQuota
import plantainturn.version.route.ClientAccountName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides at one node whether requests of accounts are within quotas that all nodes use together.
 *
 * Load pattern: many nodes, each of which sees few requests of an account. While the desk says that an account is open,
 * the node admits its part of the rate without a message; for anything else the desk has to be asked. Without a desk,
 * an account that was open stays so for a moment, and then the node keeps to its part of the rate. Confined to one
 * thread.
 *
 * @param share returns the fraction of what all nodes may use together that this node may use
 */
public class NodeQuotas(
    private val random: Random,
    private val share: (Moment) -> Double,
) {
    private val accounts = HashMap<ClientAccountName, NodeAccount>()
    private var sequence = 0L

    /** The units of each account that this node has admitted without asking, less what was given back. */
    public val admitted: Map<ClientAccountName, Long>
        get() = accounts.mapValues { it.value.total }

    /** Decides on a request that costs [cost], and counts it if it is admitted. */
    public fun decide(
        account: ClientAccountName,
        quota: AccountQuota,
        cost: Long,
        deskIsSilent: Boolean,
        now: Moment,
    ): NodeVerdict =
        if (quota.perSecond > 0) {
            stateOf(account).decide(quota, cost, share(now), deskIsSilent, now)
        } else {
            NodeVerdict.Exceeded(QuotaTiming.WITHOUT_DESK_WAIT)
        }

    /** Gives back [units] of a request that was admitted or granted, and has not run and never will. */
    public fun giveBack(
        account: ClientAccountName,
        units: Long,
    ): Unit = stateOf(account).giveBack(units)

    /** Returns whether [account] was open when the desk was last heard. */
    public fun isOpen(account: ClientAccountName): Boolean = accounts[account]?.bound == false

    /** Returns the totals for a report: if [whole] is false, those that the desk has not heard. */
    public fun totals(whole: Boolean): AdmittedTotals {
        val included = if (whole) accounts else accounts.filterValues { it.hasUnheard }
        return AdmittedTotals(sequence++, whole, included.mapValues { it.value.total })
    }

    /** Returns the total of [account] for a call that asks for more. */
    public fun totalOf(account: ClientAccountName): AdmittedTotals =
        AdmittedTotals(sequence++, whole = false, mapOf(account to stateOf(account).total))

    /**
     * Records the desk's answer to a report with [totals].
     *
     * @param bound the accounts for which the desk has to be asked
     * @param present the accounts that have a quota
     */
    public fun onReport(
        totals: AdmittedTotals,
        bound: Set<ClientAccountName>,
        present: Set<ClientAccountName>,
        sentAt: Moment,
    ) {
        for (name in present) stateOf(name).onHeard(totals.units[name], totals.sequence, name in bound, sentAt)
    }

    /** Records the desk's answer to a call that asked for [account] and carried [totals]. */
    public fun onGrant(
        account: ClientAccountName,
        totals: AdmittedTotals,
        grant: QuotaGrant,
        sentAt: Moment,
        now: Moment,
    ) {
        val state = stateOf(account)
        state.onHeard(totals.units[account], totals.sequence, grant.bound, sentAt)
        state.onGrant(grant, now)
    }

    private fun stateOf(account: ClientAccountName): NodeAccount = accounts.getOrPut(account) { NodeAccount(random) }

    public companion object {
        /**
         * How long a node may use its share of the quotas by itself, which desks leave out for as long ([SilentParts]).
         *
         * Longer than busy issuers were seen to answer nobody (11 s), and shorter than the time after which a silent
         * process's share is given to others.
         */
        public val SHARE_TERM: Duration = 20.seconds
    }
}
