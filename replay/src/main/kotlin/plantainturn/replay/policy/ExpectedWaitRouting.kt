package plantainturn.replay.policy

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.replay.world.Dispatcher
import plantainturn.replay.world.RequestRun
import plantainturn.replay.world.RunState
import plantainturn.replay.world.UpstreamStatus
import plantainturn.replay.world.Upstreams
import plantainturn.request.RequestPriority
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The product's routing: each node sends to the lesser loaded of two random candidates below their concurrency limits,
 * and keeps what finds none.
 *
 * A node knows what it has sent itself, and what the others had sent at the last tick. Requests that can still meet
 * their target go first; those that can't, and batches, use only capacity that would stay idle.
 */
internal class ExpectedWaitRouting(
    private val nodes: List<RoutingNode>,
    private val dispatcher: Dispatcher,
    private val upstreams: Upstreams,
    private val timer: TimerService,
    private val random: Random,
) : RoutingPolicy {
    private val totals = IntArray(upstreams.all.size)

    override fun arrived(run: RequestRun) = route(run)

    override fun refused(run: RequestRun) = route(run)

    override fun broken(run: RequestRun) = route(run)

    override fun left(
        run: RequestRun,
        status: UpstreamStatus,
    ) {
        nodes[run.node].sent[status.index]--
    }

    override fun finished(
        run: RequestRun,
        status: UpstreamStatus,
    ) {
        val node = nodes[run.node]
        if (run.record.priority == RequestPriority.INTERACTIVE) {
            node.limits[status.index].observe(run.slowTokens > SLOW_SHARE * run.record.answerTokens)
        }
        drain(node)
    }

    override fun tick() {
        totals.fill(0)
        nodes.forEach { node ->
            node.sent.copyInto(node.told)
            for (index in totals.indices) totals[index] += node.sent[index]
        }
        nodes.forEach(::drain)
    }

    private fun route(run: RequestRun) {
        if (!trySend(run, nodes[run.node])) nodes[run.node].waiting += run
    }

    private fun drain(node: RoutingNode) {
        if (node.waiting.isEmpty()) return
        node.waiting.removeAll { it.state != RunState.WAITING }
        val now = timer.now()
        node.waiting.sortWith(compareBy({ urgency(it, now) }, { it.arrivedAt }))
        node.waiting.removeAll { trySend(it, node) }
    }

    private fun urgency(
        run: RequestRun,
        now: Moment,
    ): Urgency =
        when {
            run.generated > 0 -> Urgency.RESUMED
            run.record.priority == RequestPriority.BATCH -> Urgency.BATCH
            isInTime(run, now) -> Urgency.IN_TIME
            else -> Urgency.LATE
        }

    private fun isInTime(
        run: RequestRun,
        now: Moment,
    ): Boolean = now - run.arrivedAt + LEAST_FIRST_TOKEN <= run.firstTokenTarget

    private fun trySend(
        run: RequestRun,
        node: RoutingNode,
    ): Boolean {
        val now = timer.now()
        val share = if (urgency(run, now) <= Urgency.IN_TIME) 1.0 else IDLE_SHARE
        val candidates =
            upstreams.holders(run.record.target).filter {
                it !== run.avoided && it.isUsable(now) && load(node, it) < share * node.limits[it.index].value
            }
        val chosen = choose(candidates, node) ?: return false
        node.sent[chosen.index]++
        dispatcher.send(run, chosen)
        return true
    }

    private fun choose(
        candidates: List<UpstreamStatus>,
        node: RoutingNode,
    ): UpstreamStatus? {
        if (candidates.size < 2) return candidates.firstOrNull()
        val first = random.nextInt(candidates.size)
        val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
        return minOf(candidates[first], candidates[second], compareBy { load(node, it) / node.limits[it.index].value })
    }

    private fun load(
        node: RoutingNode,
        status: UpstreamStatus,
    ): Double {
        val others = totals[status.index] - node.told[status.index]
        return (node.sent[status.index] + others).toDouble()
    }

    private companion object {
        const val SLOW_SHARE = 0.05
        const val IDLE_SHARE = 0.7
        val LEAST_FIRST_TOKEN: Duration = 80.milliseconds
    }
}

/** What goes first when a place comes free. */
private enum class Urgency { RESUMED, IN_TIME, LATE, BATCH }

/**
 * What one node knows for routing.
 *
 * @property sent requests that it has at each upstream
 * @property told what it last told the others
 */
internal class RoutingNode(
    upstreams: Upstreams,
) {
    val sent = IntArray(upstreams.all.size)
    val told = IntArray(upstreams.all.size)
    val limits = upstreams.all.map { ConcurrencyLimit(it.concurrency) }
    val waiting = ArrayList<RequestRun>()
}

/** The requests that an upstream can run at once with tokens in time, as learnt from the answers. */
internal class ConcurrencyLimit(
    private val concurrency: Int,
) {
    var value: Double = concurrency * START_SHARE
        private set

    fun observe(slow: Boolean) {
        value = if (slow) maxOf(MINIMUM, value * DECREASE) else minOf(concurrency.toDouble(), value + INCREASE)
    }

    private companion object {
        const val START_SHARE = 0.6
        const val MINIMUM = 2.0
        const val DECREASE = 0.92
        const val INCREASE = 0.04
    }
}
