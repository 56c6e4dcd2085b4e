package plantainturn.request.admission

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.version.configuration.ModelName

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
    private val lines = ConcurrentHashMap<ModelName, ModelAdmissionQueue>()
    private val teams = TeamWaitingLimiter()
    private val rotation = AtomicInteger()
    private val recheck: TimerSubscription = timer.subscribe(recheckPeriod) { startWaitingRequests() }

    /** Starts the request of [ticket] now, lets it wait, or refuses it. */
    public fun submit(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ): Unit = lineOf(ticket.target).submit(ticket, listener)

    /** Starts what there is room for; to be called when room was released. Models take turns in being first. */
    public fun startWaitingRequests() {
        val waiting = lines.values.filter { it.size > 0 }
        if (waiting.isEmpty()) return
        val first = rotation.getAndIncrement().mod(waiting.size)
        (waiting.drop(first) + waiting.take(first)).forEach { it.startWaitingRequests() }
    }

    /** Returns requests that wait for [target]. */
    public fun waiting(target: ModelName): Int = lines[target]?.size ?: 0

    /** Stops looking at the lines again by time. */
    override fun close(): Unit = recheck.cancel()

    private fun lineOf(target: ModelName): ModelAdmissionQueue =
        lines[target] ?: lines.computeIfAbsent(target) { ModelAdmissionQueue(timer, teams) }

    private companion object {
        val DEFAULT_RECHECK_PERIOD = 50.milliseconds
    }
}
