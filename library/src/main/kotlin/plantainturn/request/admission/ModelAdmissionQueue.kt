package plantainturn.request.admission

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import plantainturn.process.ResultCode
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription

/** The requests that wait for one model, under one lock. */
internal class ModelAdmissionQueue(
    private val timer: TimerService,
    private val teamLimits: TeamWaitingLimiter,
) {
    private class Entry(
        val ticket: AdmissionTicket,
        val listener: AdmissionListener,
    ) {
        var expiry: TimerSubscription? = null
    }

    private val lock = ReentrantLock()
    private val line = PriorityRequestQueue<Entry>()
    private val drain = WaitEstimator()

    val size: Int get() = lock.withLock { line.size }

    fun submit(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ): Unit =
        lock.withLock {
            val now = timer.now()
            val refusal = refusalOf(ticket, now)
            when {
                refusal != null -> listener.refused(refusal)
                line.size == 0 || ticket.resumed -> startOrWait(ticket, listener)
                else -> wait(ticket, listener)
            }
        }

    /** Starts as many requests as there is room for. */
    fun startWaitingRequests(): Unit =
        lock.withLock {
            var entry = line.peek()
            while (entry != null) {
                val result = entry.listener.tryStart()
                if (result is StartResult.Busy) return
                line.removeNext()
                left(entry)
                if (result is StartResult.Refused) entry.listener.refused(result.refusal)
                if (result is StartResult.Started) drain.recordStart(timer.now())
                entry = line.peek()
            }
            drain.idle()
        }

    private fun startOrWait(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ) {
        when (val result = listener.tryStart()) {
            is StartResult.Started -> Unit
            is StartResult.Busy -> wait(ticket, listener)
            is StartResult.Refused -> listener.refused(result.refusal)
        }
    }

    private fun wait(
        ticket: AdmissionTicket,
        listener: AdmissionListener,
    ) {
        if (!teamLimits.tryEnter(ticket)) {
            listener.refused(teamLimitReached(ticket))
            return
        }
        val entry = Entry(ticket, listener)
        line.add(ticket, entry)
        entry.expiry = timer.schedule(ticket.latestStart - timer.now()) { expire(entry) }
    }

    private fun expire(entry: Entry): Unit =
        lock.withLock {
            if (!line.remove(entry.ticket, entry)) return
            left(entry)
            if (line.size == 0) drain.idle()
            entry.listener.refused(deadlinePassed())
        }

    private fun left(entry: Entry) {
        entry.expiry?.cancel()
        teamLimits.leave(entry.ticket)
    }

    private fun refusalOf(
        ticket: AdmissionTicket,
        now: Moment,
    ): AdmissionRefusal? {
        val remaining = ticket.latestStart - now
        if (!remaining.isPositive()) return deadlinePassed()
        if (line.size == 0 || ticket.resumed) return null
        val wait = drain.expectedWait(line.requestsAhead(ticket.priority), now)
        return if (wait > remaining) overloaded(wait, remaining) else null
    }

    private fun overloaded(
        wait: Duration,
        remaining: Duration,
    ): AdmissionRefusal {
        val back = (wait - remaining).coerceIn(SHORTEST_RETRY, LONGEST_RETRY)
        return AdmissionRefusal(ResultCode.OVERLOADED, "the expected wait is $wait", back)
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
