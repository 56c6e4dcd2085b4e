package plantainturn.request.admission

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import plantainturn.version.configuration.TeamName

/** Counts the waiting requests of each team over all models of this node. */
internal class TeamWaitingLimiter {
    private val counts = ConcurrentHashMap<TeamName, AtomicInteger>()

    /** Counts one more and returns true, unless the team's limit is reached. Resumed requests always enter. */
    fun tryEnter(ticket: AdmissionTicket): Boolean {
        val count = counts.computeIfAbsent(ticket.team) { AtomicInteger() }
        val entered = count.incrementAndGet()
        if (entered <= ticket.waitingLimit || ticket.resumed) return true
        count.decrementAndGet()
        return false
    }

    fun leave(ticket: AdmissionTicket) {
        counts[ticket.team]?.decrementAndGet()
    }
}
