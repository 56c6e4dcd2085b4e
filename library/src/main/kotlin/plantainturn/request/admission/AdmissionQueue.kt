package plantainturn.request.admission

import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.version.configuration.ModelName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Starts requests when there is room for them, and refuses at once those that can't be started in time.
 *
 * Each model has a [PriorityRequestQueue] under its own lock. A request gets exactly one end: it is started, or refused with a
 * code that says that it did not run. Safe for use by several threads; with a virtual timer and one thread every run
 * gives the same decisions.
 *
 * @param recheckPeriod the time after which lines are looked at again although nothing was released
 */
public class AdmissionQueue(
    private val timer: TimerService,
    recheckPeriod: Duration = DEFAULT_RECHECK_PERIOD,
) : AutoCloseable {
    private val queues = ConcurrentHashMap<ModelName, ModelAdmissionQueue>()
    private val teamLimiter = TeamWaitingLimiter()
    private val nextFirst = AtomicInteger()
    private val recheck: TimerSubscription = timer.subscribe(recheckPeriod) { startWaitingRequests() }

    /** Starts the request of [ticket] now, lets it wait, or refuses it. */
    public fun submit(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ): Unit = queueFor(ticket.target).submit(ticket, listener)

    /** Starts what there is room for; to be called when room was released. Models take turns in being first. */
    public fun startWaitingRequests() {
        val waiting = queues.values.filter { it.size > 0 }
        if (waiting.isEmpty()) return
        val first = nextFirst.getAndIncrement().mod(waiting.size)
        (waiting.drop(first) + waiting.take(first)).forEach { it.startWaitingRequests() }
    }

    /** Returns requests that wait for [target]. */
    public fun waiting(target: ModelName): Int = queues[target]?.size ?: 0

    /** Stops looking at the queues again by time. */
    override fun close(): Unit = recheck.cancel()

    private fun queueFor(target: ModelName): ModelAdmissionQueue =
        queues[target] ?: queues.computeIfAbsent(target) { ModelAdmissionQueue(timer, teamLimiter) }

    private companion object {
        val DEFAULT_RECHECK_PERIOD = 50.milliseconds
    }
}
