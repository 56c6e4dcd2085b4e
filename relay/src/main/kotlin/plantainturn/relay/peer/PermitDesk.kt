package plantainturn.relay.peer

import org.apache.logging.log4j.LogManager
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.roster.InstanceRun
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.request.InstanceNotices
import plantainturn.request.relay.PermitOutcome
import plantainturn.request.relay.PermitQueue
import plantainturn.request.relay.PlaceQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Hands out the permits of all nodes at the issuer of orders.
 *
 * Each lease begins with empty queues and no free permit. A holder that can't renew its lease may have a successor, so
 * it hands out half of each limit: both together stay below the one and a half times that instances tolerate. Nodes
 * that are denied a permit ask again no sooner than they exchange reports, so that many of them don't overload the
 * issuer.
 *
 * Permits for brittle instances are places there, of which the nodes' reports tell those in use. A new holder of the
 * lease hands out none before all nodes have reported to it.
 *
 * @param reports what the nodes have reported
 * @param nodes returns the number of nodes
 */
internal class PermitDesk(
    private val lease: StoreLease,
    private val notices: InstanceNotices,
    private val timer: TimerService,
    private val reports: ReportedWork = ReportedWork.NONE,
    private val nodes: () -> Int,
) {
    private val logger = LogManager.getLogger("permit")
    private val queues = HashMap<InstanceRun, PermitQueue<Waiting>>()
    private val wakeUps = HashMap<InstanceRun, Moment>()
    private val placeQueues = HashMap<InstanceRun, PlaceQueue<Waiting>>()
    private val placeTimers = HashSet<InstanceRun>()
    private var queuesFence: FenceNumber? = null
    private var queuesSince = Moment.ORIGIN

    /** Passes the answer to [wish] to [done], at the latest when the wish's patience has ended. */
    fun request(
        wish: PermitWish,
        done: (PermitGrant) -> Unit,
    ) {
        val now = timer.now()
        val run = wish.limit.run
        notices.onPeerLimits(mapOf(run to wish.limit.toStatement(now)))
        if (lease.fence != queuesFence) changeLease()
        if (queuesFence == null) return done(NO_ISSUER)
        if (wish.places != null && notices.limitOf(run) == null) return requestPlace(run, wish, wish.places, now, done)
        val queue = queues.getOrPut(run) { PermitQueue(now) }
        queue.add(Waiting(wish, now, done), wish.toRequest(now))
        advance(run, queue)
    }

    private fun changeLease() {
        val abandoned = queues.values.flatMap { it.clear() } + placeQueues.values.flatMap { it.clear() }
        queues.clear()
        placeQueues.clear()
        queuesFence = lease.fence
        queuesSince = timer.now()
        abandoned.forEach { it.done(NO_ISSUER) }
    }

    private fun requestPlace(
        run: InstanceRun,
        wish: PermitWish,
        places: Int,
        now: Moment,
        done: (PermitGrant) -> Unit,
    ) {
        val queue = placeQueues.getOrPut(run) { PlaceQueue() }
        queue.add(Waiting(wish, now, done), wish.node, wish.toRequest(now), now)
        advancePlaces(run, places, queue)
    }

    private fun advancePlaces(
        run: InstanceRun,
        places: Int,
        queue: PlaceQueue<Waiting>,
    ) {
        if (lease.fence != queuesFence) return changeLease()
        val now = timer.now()
        val informed = lease.isExclusive && now - queuesSince >= ExchangeTiming.period(nodes()) * PERIODS_TO_REPORT
        val running = if (informed) reports.runningAt(run.name) else places
        for (outcome in queue.advance(places, running, now, reports::reportedAt)) answer(run, rate = null, outcome)
        if (queue.size > 0 && placeTimers.add(run)) {
            timer.schedule(PLACE_PAUSE) {
                placeTimers.remove(run)
                if (placeQueues[run] === queue) advancePlaces(run, places, queue)
            }
        }
    }

    private fun advance(
        run: InstanceRun,
        queue: PermitQueue<Waiting>,
    ) {
        if (lease.fence != queuesFence) return changeLease()
        val now = timer.now()
        val rate = rateOf(run)
        val outcomes = queue.advance(rate, now)
        for (outcome in outcomes) answer(run, rate, outcome)
        if (queue.size > 0 && rate != null) wakeUp(run, queue, queue.nextPermitAt(rate))
    }

    private fun rateOf(run: InstanceRun): Double? =
        notices.limitOf(run)?.let { if (lease.isExclusive) it else it * UNCERTAIN_SHARE }

    private fun answer(
        run: InstanceRun,
        rate: Double?,
        outcome: PermitOutcome<Waiting>,
    ) {
        val waiting = outcome.identifier
        val wait = if (outcome.granted) Duration.ZERO else maxOf(outcome.wait, ExchangeTiming.period(nodes()))
        logger.info(
            "instance={} event=permit granted={} node={} urgency={} waited={} wait={} rate={} fence={}",
            run.name,
            outcome.granted,
            waiting.wish.node,
            waiting.wish.urgency,
            timer.now() - waiting.since,
            wait,
            rate,
            queuesFence,
        )
        waiting.done(PermitGrant(outcome.granted, wait.inWholeMilliseconds))
    }

    private fun wakeUp(
        run: InstanceRun,
        queue: PermitQueue<Waiting>,
        at: Moment,
    ) {
        val now = timer.now()
        val planned = wakeUps[run]
        if (planned != null && planned > now && planned <= at) return
        wakeUps[run] = at
        timer.schedule(maxOf(at - now, MINIMUM_PAUSE)) {
            if (wakeUps[run] == at) wakeUps.remove(run)
            if (queues[run] === queue) advance(run, queue)
        }
    }

    private class Waiting(
        val wish: PermitWish,
        val since: Moment,
        val done: (PermitGrant) -> Unit,
    )

    internal companion object {
        /** The time in which another node usually becomes the issuer. */
        val NO_ISSUER_WAIT: Duration = 1.seconds
        private val NO_ISSUER = PermitGrant(granted = false, NO_ISSUER_WAIT.inWholeMilliseconds)
        private const val UNCERTAIN_SHARE = 0.5
        private val MINIMUM_PAUSE = 1.milliseconds

        /** How soon a place that became free is handed out. */
        private val PLACE_PAUSE = 20.milliseconds
        private const val PERIODS_TO_REPORT = 3
    }
}
