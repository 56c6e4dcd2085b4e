package plantainturn.request.admission

import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.version.configuration.ModelName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Starts requests when there is capacity for them, and immediately refuses those that can't be started in time.
 *
 * Each model has a [PriorityRequestQueue] under its own lock. Each request is either started or refused, exactly once;
 * a refusal carries a code that says that the request did not run. Thread-safe. Decisions are deterministic with a
 * virtual timer and a single thread.
 *
 * @param recheckPeriod the period at which the queues are checked even if no capacity was released
 */
public class AdmissionQueue(
    private val timer: TimerService,
    recheckPeriod: Duration = DEFAULT_RECHECK_PERIOD,
) : AutoCloseable {
    private val queues = ConcurrentHashMap<ModelName, ModelAdmissionQueue>()
    private val teamLimiter = TeamWaitingLimiter()
    private val nextFirst = AtomicInteger()
    private val recheck: TimerSubscription = timer.subscribe(recheckPeriod) { startWaitingRequests() }

    /** Starts the request of [ticket] immediately, enqueues it, or refuses it. */
    public fun submit(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ): Unit = queueFor(ticket.target).submit(ticket, listener)

    /** Starts waiting requests as capacity allows. Call it when capacity was released. Models are tried round-robin. */
    public fun startWaitingRequests() {
        val waiting = queues.values.filter { it.size > 0 }
        if (waiting.isEmpty()) return
        val first = nextFirst.getAndIncrement().mod(waiting.size)
        (waiting.drop(first) + waiting.take(first)).forEach { it.startWaitingRequests() }
    }

    /** Returns the number of requests that wait for [target]. */
    public fun waiting(target: ModelName): Int = queues[target]?.size ?: 0

    /** Stops the periodic check of the queues. */
    override fun close(): Unit = recheck.cancel()

    private fun queueFor(target: ModelName): ModelAdmissionQueue =
        queues[target] ?: queues.computeIfAbsent(target) { ModelAdmissionQueue(timer, teamLimiter) }

    private companion object {
        val DEFAULT_RECHECK_PERIOD = 50.milliseconds
    }
}
