package plantainturn.relay.request

import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.relay.PermitRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Permits of this node to send requests to instances that limit their requests.
 *
 * Each send of a caller's request to such an instance needs one, whether it is the first or a repetition. A permit
 * whose request has ended meanwhile can be used by another request for a moment. Confined to the event loop.
 *
 * @param isBrittle returns whether requests to an instance need a place there
 * @param source requests a permit from the issuer, and passes null to its callback if it was granted, otherwise the
 *   time after which another request for a permit is useful
 */
public class SendPermits(
    private val limits: RequestLimitTracker,
    private val timer: TimerService,
    private val isBrittle: (UpstreamInstance) -> Boolean = { false },
    private val source: (InstanceRun, PermitRequest, (Duration?) -> Unit) -> Unit,
) {
    private val granted = HashMap<InstanceRun, ArrayDeque<Moment>>()
    private val refusals = HashMap<InstanceRun, Int>()
    private val denials = HashMap<InstanceRun, MutableMap<Int, Moment>>()

    /**
     * Returns the time until a permit for [instance] should be free for a request of this node, null if none is needed.
     *
     * @param urgency rank of the request's route; a denial to a less urgent request says nothing about it
     */
    public fun waitFor(
        instance: UpstreamInstance,
        urgency: Int,
    ): Duration? {
        val run = instance.run
        if (!isNeeded(instance)) return null
        if (hasGranted(run)) return Duration.ZERO
        val until = denials[run]?.filterKeys { it <= urgency }?.maxOfOrNull { it.value } ?: return Duration.ZERO
        return (until - timer.now()).coerceAtLeast(Duration.ZERO)
    }

    /** Takes a permit for a send to [instance], and returns whether there was one or none is needed. */
    internal fun tryTake(instance: UpstreamInstance): Boolean {
        if (!isNeeded(instance)) return true
        if (!hasGranted(instance.run)) return false
        granted.getValue(instance.run).removeFirst()
        return true
    }

    /** Returns a permit that was taken for a send to [instance] that did not take place. */
    internal fun putBack(instance: UpstreamInstance) {
        if (isNeeded(instance)) keep(instance.run)
    }

    /** Records that [instance] has turned a request away; if it is brittle, this node sends it none for a while. */
    internal fun onRefused(instance: UpstreamInstance) {
        if (!isBrittle(instance)) return
        refusals.merge(instance.run, 1, Int::plus)
        granted.remove(instance.run)
        denials.getOrPut(instance.run) { HashMap() }[MOST_URGENT] = timer.now() + REFUSED_PAUSE
    }

    private fun isNeeded(instance: UpstreamInstance): Boolean =
        limits.limitOf(instance.run) != null || isBrittle(instance)

    /** Requests a permit for [instance], and calls [done] with whether there is one now, or none is needed. */
    internal fun request(
        instance: UpstreamInstance,
        request: PermitRequest,
        done: (Boolean) -> Unit,
    ) {
        val run = instance.run
        val places = instance.concurrency.takeIf { isBrittle(instance) }
        val told = refusals.remove(run) ?: 0
        source(run, request.copy(places = places, refusals = told)) { wait ->
            if (wait == null) {
                denials.remove(run)
                keep(run)
            } else {
                denials.getOrPut(run) { HashMap() }[request.urgency] = timer.now() + wait
            }
            done(wait == null)
        }
    }

    private fun keep(run: InstanceRun) {
        granted.getOrPut(run) { ArrayDeque() }.addLast(timer.now() + KEPT_FOR)
    }

    private fun hasGranted(run: InstanceRun): Boolean {
        val kept = granted[run] ?: return false
        while (kept.isNotEmpty() && kept.first() < timer.now()) kept.removeFirst()
        if (kept.isEmpty()) granted.remove(run)
        return kept.isNotEmpty()
    }

    private companion object {
        /** A denial for the most urgent requests holds for all. */
        const val MOST_URGENT = 0

        /** The issuer hears of the refusal, and the other nodes' places are counted, within this time. */
        val REFUSED_PAUSE = 500.milliseconds

        /** Short, since requests that are sent later would add to those of later permits. */
        val KEPT_FOR = 200.milliseconds
    }
}
