package plantainturn.request.admission

import plantainturn.version.configuration.TeamName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Limits the waiting requests of each team, over all models of this node. */
internal class TeamWaitingLimiter {
    private val counts = ConcurrentHashMap<TeamName, AtomicInteger>()

    /** Counts one more waiting request and returns true, unless the limit is reached. Resumed requests are exempt. */
    fun tryAcquire(ticket: AdmissionTicket): Boolean {
        val count = counts.computeIfAbsent(ticket.team) { AtomicInteger() }
        val waiting = count.incrementAndGet()
        if (waiting <= ticket.waitingLimit || ticket.resumed) return true
        count.decrementAndGet()
        return false
    }

    fun release(ticket: AdmissionTicket) {
        counts[ticket.team]?.decrementAndGet()
    }
}
