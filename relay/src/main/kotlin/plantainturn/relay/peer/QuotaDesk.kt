package plantainturn.relay.peer

import plantainturn.connection.engine.FenceNumber
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.quota.AccountLevel
import plantainturn.request.quota.DeskRefill
import plantainturn.request.quota.QuotaLedger
import plantainturn.request.quota.QuotaTerms
import plantainturn.request.quota.SilentParts
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.RoutingSource
import kotlin.time.Duration.Companion.milliseconds

/**
 * Counts the use of the accounts' quotas by all nodes at the issuer of orders.
 *
 * Each lease begins with empty buckets. Without accounts in the configuration it does nothing.
 *
 * @param nodes returns the number of nodes
 */
internal class QuotaDesk(
    private val lease: StoreLease,
    private val routing: RoutingSource,
    private val terms: QuotaTerms,
    private val timer: TimerService,
    private val nodes: () -> Int,
) {
    private var ledger: QuotaLedger? = null
    private var ledgerFence: FenceNumber? = null
    private var silentParts = SilentParts(Moment.ORIGIN, hasPredecessor = false)

    /** The state of each account that has a quota, empty at a node that is not the desk. */
    val levels: Map<ClientAccountName, AccountLevel>
        get() = advance()?.levels.orEmpty()

    /**
     * Records what [node] reports, and returns the accounts for which nodes have to ask, null if this is no desk.
     *
     * @param address where peers reach the node
     * @param share the largest share of what all nodes use together that it may be using
     */
    fun report(
        node: String,
        address: String,
        share: Double,
        admitted: AdmittedReport?,
    ): List<String>? {
        val current = advance() ?: return null
        silentParts.onReport(node, address, share, timer.now())
        admitted?.let { current.report(node, it.decode(), timer.now()) }
        return current.bound.map { it.value }
    }

    /** Returns the answer to [wish], or null if this node is not the desk or does not know the account's quota. */
    fun ask(wish: QuotaWish): QuotaAnswer? {
        val current = advance() ?: return null
        val account = ClientAccountName(wish.account)
        current.report(wish.node, wish.admitted.decode(), timer.now())
        val grant = current.ask(account, wish.costs) ?: return null
        val wait = grant.wait.inWholeMilliseconds
        return QuotaAnswer(grant.units, grant.refusedCost, wait, grant.bound, grant.level.toLong())
    }

    private fun advance(): QuotaLedger? {
        val fence = lease.fence
        val accounts = routing.current?.accounts?.byName
        if (fence == null || accounts == null) {
            ledger = null
            return null
        }
        val now = timer.now()
        val current = ledger?.takeIf { ledgerFence == fence } ?: start(now)
        ledger = current
        ledgerFence = fence
        val silent = silentParts.fraction(ExchangeTiming.period(nodes()) + SILENCE_MARGIN, now)
        val refill = DeskRefill.of(lease.isExclusive, silent, silentParts.unknownFraction(now))
        current.advance(accounts, refill, now)
        return current
    }

    private fun start(now: Moment): QuotaLedger {
        silentParts = SilentParts(now, hasPredecessor = !lease.isFirstHolder)
        return QuotaLedger(terms, now)
    }

    private companion object {
        /** What a report may be late by. After less than that, a silent node admits what the desk has not granted. */
        val SILENCE_MARGIN = 300.milliseconds
    }
}
