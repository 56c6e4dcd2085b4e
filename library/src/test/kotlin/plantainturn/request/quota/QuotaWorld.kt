package plantainturn.request.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import plantainturn.process.time.Moment
import plantainturn.request.relay.NodeShare
import plantainturn.request.relay.NodeShareAllocator
import plantainturn.request.relay.NodeShareTerms
import plantainturn.version.route.AccountQuota
import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Nodes and a desk that exchange messages over links with delay, loss and partitions, in steps of 10 ms. */
internal class QuotaWorld(
    seed: Int,
    nodeCount: Int,
    var quota: AccountQuota,
    private val cost: (Random) -> Long,
    private val loss: Double = 0.0,
    private val maximumDelay: Duration = 20.milliseconds,
) {
    private val random = Random(seed)
    private var started = 0
    val admitted = ArrayList<Use>()
    val offered = ArrayList<Use>()
    val refused = LinkedHashSet<Use>()
    var now = Moment.ORIGIN + 1_000.seconds
        private set

    /** The offered load as a part of the quota's rate. */
    var load = USUAL_LOAD

    /** The time between two reports of a node. */
    val period: Duration get() = maxOf(200.milliseconds, 4.milliseconds * nodes.size)

    val nodes = MutableList(nodeCount) { Node() }
    var desk: Desk? = Desk(isFirst = true)
        private set

    private val meanCost = cost.let { c -> Random(seed).let { r -> List(COST_SAMPLES) { c(r) }.average() } }
    private val messages = ArrayList<Pair<Moment, () -> Unit>>()
    private var successorAt: Moment? = null
    private var isolatedDesk: Desk? = null
    private var exclusiveUntil = now

    fun run(duration: Duration) {
        val end = now + duration
        while (now < end) step()
    }

    fun crashDesk(successorAfter: Duration) {
        desk = null
        successorAt = now + successorAfter
    }

    /** Separates [isolated] nodes from the others, with the desk if [withDesk]; the others then get a new desk. */
    fun partition(
        isolated: Iterable<Int>,
        withDesk: Boolean,
    ) {
        isolated.forEach { nodes[it].isolated = true }
        if (!withDesk) return
        isolatedDesk = desk
        exclusiveUntil = now + 1_400.milliseconds
        crashDesk(3.seconds)
    }

    fun heal() {
        nodes.forEach { it.isolated = false }
        isolatedDesk = null
    }

    fun restart(indices: Iterable<Int>) = indices.forEach { nodes[it] = Node(nodes[it].address) }

    fun addNodes(count: Int) = repeat(count) { nodes += Node() }

    private fun step() {
        now += STEP
        if (now >= exclusiveUntil) isolatedDesk?.isExclusive = false
        val due = messages.filter { it.first <= now }
        messages.removeAll { it.first <= now }
        due.forEach { it.second() }
        if (successorAt?.let { now >= it } == true) {
            successorAt = null
            desk = Desk(isFirst = false)
        }
        nodes.toList().forEach { it.step() }
        val perStep = quota.perSecond * load * STEP.inWholeMilliseconds / 1_000 / meanCost
        var wait = -ln(1 - random.nextDouble())
        while (wait < perStep) {
            nodes.random(random).receive(Use(now, cost(random)))
            wait += -ln(1 - random.nextDouble())
        }
    }

    private fun deskOf(node: Node): Desk? = if (node.isolated) isolatedDesk else desk

    private fun send(
        node: Node,
        action: () -> Unit,
    ) {
        val reached = deskOf(node)
        if (reached == null || random.nextDouble() < loss) return
        messages += now + maximumDelay * random.nextDouble() to { if (deskOf(node) === reached) action() }
    }

    /** Returns the largest sum of what was admitted in a window that begins at [from] or later. */
    fun worstWindow(from: Moment = Moment.ORIGIN): Long {
        var worst = 0L
        var sum = 0L
        val uses = admitted.filter { it.at >= from }
        var first = 0
        for (use in uses) {
            sum += use.cost
            while (uses[first].at < use.at - TERMS.window) sum -= uses[first++].cost
            worst = maxOf(worst, sum)
        }
        return worst
    }

    /** Returns the requests since [from] that would not have taken the account over its quota in their window. */
    fun underQuota(from: Moment): List<Use> {
        val limit = quota.perSecond * TERMS.window.inWholeSeconds + quota.burst
        var sum = 0L
        var first = 0
        return offered.filter { use ->
            sum += use.cost
            while (offered[first].at < use.at - TERMS.window) sum -= offered[first++].cost
            use.at >= from && sum <= limit
        }
    }

    class Use(
        val at: Moment,
        val cost: Long,
    )

    inner class Node(
        place: String? = null,
    ) {
        private val name = "node ${started++}"
        val address = place ?: name
        private val share = NodeShare(SHARE_TERMS)
        private val quotas = NodeQuotas(Random(started)) { share.fractionAt(it, NodeQuotas.SHARE_TERM) }
        private val waiting = ArrayList<Use>()
        private var nextReportAt = now + PERIODS_START * Random(started).nextDouble()
        private var reports = 0L
        private var heardAt = Moment.ORIGIN
        private var failedAt = Moment.ORIGIN
        private var wholeFor: Desk? = null
        private var asking: Any? = null
        var isolated = false

        val isOpen get() = quotas.isOpen(ACCOUNT)
        private val deskIsSilent get() = now - heardAt > maxOf(900.milliseconds, period * 4) || failedAt > heardAt

        fun receive(use: Use) {
            offered += use
            decide(use)
        }

        fun step() {
            if (now >= nextReportAt) report()
        }

        private fun decide(use: Use) {
            when (quotas.decide(ACCOUNT, quota, use.cost, deskIsSilent, now)) {
                NodeVerdict.Admitted -> admitted += Use(now, use.cost)
                NodeVerdict.Ask -> ask(use)
                else -> refused += use
            }
        }

        private fun report() {
            nextReportAt = now + period
            val to = deskOf(this)
            val totals = quotas.totals(whole = wholeFor !== to)
            val sentAt = now
            val sequence = reports++
            val maximum = share.maximumWithinWindow(now)
            send(this) {
                val answering = to ?: return@send
                val fraction =
                    answering.allocator.takeIf { answering.isExclusive }?.renew(name, maximum, sequence, now)
                answering.advance()
                answering.silentParts.onReport(name, address, maxOf(fraction ?: 0.0, maximum), now)
                answering.ledger.report(name, totals, now)
                val bound = answering.ledger.bound
                send(this) {
                    wholeFor = answering
                    heardAt = now
                    fraction?.let { share.confirm(it, sentAt, now) }
                    quotas.onReport(totals, bound, setOf(ACCOUNT), sentAt)
                }
            }
        }

        private fun ask(use: Use) {
            waiting += use
            if (asking == null) callDesk()
        }

        private fun callDesk() {
            val batch = waiting.toList()
            waiting.clear()
            val call = Any()
            asking = call
            val totals = quotas.totalOf(ACCOUNT)
            val sentAt = now
            send(this) {
                val answering = deskOf(this) ?: return@send
                answering.advance()
                answering.ledger.report(name, totals, now)
                val grant = answering.ledger.ask(ACCOUNT, batch.map { it.cost }) ?: return@send
                send(this) { if (asking === call) onGrant(batch, totals, grant, sentAt) }
            }
            messages += now + 400.milliseconds to { if (asking === call) onSilence(batch) }
        }

        private fun onGrant(
            batch: List<Use>,
            totals: AdmittedTotals,
            grant: QuotaGrant,
            sentAt: Moment,
        ) {
            heardAt = now
            quotas.onGrant(ACCOUNT, totals, grant, sentAt, now)
            var left = grant.units
            for (use in batch) {
                if (use.cost > left) {
                    refused += use
                    continue
                }
                left -= use.cost
                admitted += Use(now, use.cost)
            }
            continueAsking()
        }

        private fun onSilence(batch: List<Use>) {
            failedAt = now
            batch.forEach(::decide)
            continueAsking()
        }

        private fun continueAsking() {
            asking = null
            val next = waiting.toList()
            waiting.clear()
            next.forEach(::decide)
        }
    }

    inner class Desk(
        isFirst: Boolean,
    ) {
        val ledger = QuotaLedger(TERMS, now)
        val allocator =
            NodeShareAllocator(
                SHARE_TERMS,
                now + if (isFirst) NodeShareAllocator.ABSENT_AFTER else SHARE_TERMS.reclaimAfter,
            )

        val silentParts = SilentParts(now, hasPredecessor = !isFirst)

        /** False: the store can't be reached, so that there may be a successor. */
        var isExclusive = true

        fun advance() {
            val silentAfter = maxOf(200.milliseconds, 4.milliseconds * nodes.size) + SILENCE_MARGIN
            val silent = silentParts.fraction(silentAfter, now)
            val refill = DeskRefill.of(isExclusive, silent, silentParts.unknownFraction(now))
            val account = ClientAccount(ACCOUNT, urgency = null, quota)
            val known = if (configured?.get(ACCOUNT) == account) configured!! else persistentMapOf(ACCOUNT to account)
            configured = known
            ledger.advance(known, refill, now)
        }

        private var configured: PersistentMap<ClientAccountName, ClientAccount>? = null
    }

    companion object {
        val TERMS = QuotaTerms(tolerance = 110_000.0)
        val ACCOUNT = ClientAccountName("account")
        private val SHARE_TERMS = NodeShareTerms(10.seconds)
        private val STEP = 10.milliseconds
        private val SILENCE_MARGIN = 300.milliseconds
        private val PERIODS_START = 200.milliseconds
        const val USUAL_LOAD = 0.55
        private const val COST_SAMPLES = 20_000
    }
}
