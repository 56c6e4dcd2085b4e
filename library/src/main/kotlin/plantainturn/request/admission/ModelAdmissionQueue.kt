package plantainturn.request.admission

import plantainturn.process.ResultCode
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The admission queue of one model, guarded by one lock. */
internal class ModelAdmissionQueue(
    private val timer: TimerService,
    private val teamLimiter: TeamWaitingLimiter,
) {
    private class Entry(
        val ticket: AdmissionTicket,
        val listener: AdmissionListener,
    ) {
        var expiry: TimerSubscription? = null
    }

    private val lock = ReentrantLock()
    private val queue = PriorityRequestQueue<Entry>()
    private val waitEstimator = WaitEstimator()

    val size: Int get() = lock.withLock { queue.size }

    fun submit(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ): Unit =
        lock.withLock {
            val now = timer.now()
            val refusal = refusalOf(ticket, now)
            when {
                refusal != null -> listener.refused(refusal)
                queue.size == 0 || ticket.resumed -> startOrWait(ticket, listener)
                else -> enqueue(ticket, listener)
            }
        }

    /** Starts waiting requests in order until the next one lacks capacity. */
    fun startWaitingRequests(): Unit =
        lock.withLock {
            var entry = queue.peek()
            while (entry != null) {
                val result = entry.listener.tryStart()
                if (result is StartResult.Busy) return
                queue.removeNext()
                onRemoved(entry)
                if (result is StartResult.Refused) entry.listener.refused(result.refusal)
                if (result is StartResult.Started) waitEstimator.recordStart(timer.now())
                entry = queue.peek()
            }
            waitEstimator.recordIdle()
        }

    private fun startOrWait(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ) {
        when (val result = listener.tryStart()) {
            is StartResult.Started -> Unit
            is StartResult.Busy -> enqueue(ticket, listener)
            is StartResult.Refused -> listener.refused(result.refusal)
        }
    }

    private fun enqueue(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ) {
        if (!teamLimiter.tryAcquire(ticket)) {
            listener.refused(teamLimitReached(ticket))
            return
        }
        val entry = Entry(ticket, listener)
        queue.add(ticket, entry)
        entry.expiry = timer.schedule(ticket.latestStart - timer.now()) { expire(entry) }
    }

    private fun expire(entry: Entry): Unit =
        lock.withLock {
            if (!queue.remove(entry.ticket, entry)) return
            onRemoved(entry)
            if (queue.size == 0) waitEstimator.recordIdle()
            entry.listener.refused(deadlinePassed())
        }

    private fun onRemoved(entry: Entry) {
        entry.expiry?.cancel()
        teamLimiter.release(entry.ticket)
    }

    private fun refusalOf(
        ticket: AdmissionTicket,
        now: Moment,
    ): AdmissionRefusal? {
        val remaining = ticket.latestStart - now
        if (!remaining.isPositive()) return deadlinePassed()
        if (queue.size == 0 || ticket.resumed) return null
        val expectedWait = waitEstimator.expectedWait(queue.requestsAhead(ticket.priority), now)
        return if (expectedWait > remaining) overloaded(expectedWait, remaining) else null
    }

    private fun overloaded(
        expectedWait: Duration,
        remaining: Duration,
    ): AdmissionRefusal {
        val retryAfter = (expectedWait - remaining).coerceIn(SHORTEST_RETRY, LONGEST_RETRY)
        return AdmissionRefusal(ResultCode.OVERLOADED, "the expected wait is $expectedWait", retryAfter)
    }

    private fun teamLimitReached(ticket: AdmissionTicket): AdmissionRefusal =
        AdmissionRefusal(
            ResultCode.TEAM_LIMIT_REACHED,
            "${ticket.waitingLimit} requests of ${ticket.team} wait",
            SHORTEST_RETRY,
        )

    private fun deadlinePassed(): AdmissionRefusal =
        AdmissionRefusal(ResultCode.DEADLINE_PASSED_IN_QUEUE, "the deadline passed before the start", SHORTEST_RETRY)

    private companion object {
        val SHORTEST_RETRY = 1.seconds
        val LONGEST_RETRY = 60.seconds
    }
}
