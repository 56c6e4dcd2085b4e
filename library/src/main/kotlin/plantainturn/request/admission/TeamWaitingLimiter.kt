package plantainturn.request.admission

import plantainturn.version.configuration.TeamName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts the waiting requests of each team over all models of this node. */
internal class TeamWaitingLimiter {
    private val counts = ConcurrentHashMap<TeamName, AtomicInteger>()

    /** Counts one more and returns true, unless the team's limit is reached. Resumed requests always enter. */
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
