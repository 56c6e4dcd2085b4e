package plantainturn.request.admission

import plantainturn.request.RequestPriority
import plantainturn.version.configuration.TeamName

/**
 * The order in which the requests for one model are started.
 *
 * Interactive requests go first, except that a waiting batch request gets one turn after [TURNS_PER_BATCH_TURN] turns
 * of interactive ones. Within a priority, teams get turns in proportion to their shares, whatever the number of their
 * requests; within a team, the oldest request goes first. Not safe for use by several threads.
 */
public class PriorityRequestQueue<T : Any> {
    private val priorities = RequestPriority.entries.associateWith { FairTeamQueue<T>() }
    private var startsSinceBatch = 0

    /** Requests that wait. */
    public val size: Int get() = priorities.values.sumOf { it.size }

    /** Returns requests of [team] that wait. */
    public fun sizeOf(team: TeamName): Int = priorities.values.sumOf { it.sizeOf(team) }

    /** Returns the turns that go before a new request of [priority], other teams' requests all counted. */
    public fun requestsAhead(priority: RequestPriority): Int {
        val interactive = rotation(RequestPriority.INTERACTIVE).size
        val batch = rotation(RequestPriority.BATCH).size
        return when (priority) {
            RequestPriority.INTERACTIVE -> interactive + minOf(batch, interactive / TURNS_PER_BATCH_TURN)
            RequestPriority.BATCH -> interactive + batch
        }
    }

    /** Adds [entry], before the team's other requests if [first]. */
    public fun add(
        ticket: AdmissionTicket,
        entry: T,
        first: Boolean = ticket.resumed,
    ): Unit = rotation(ticket.priority).add(ticket.team, ticket.share, entry, first)

    /** Returns the entry whose turn it is, or null if none waits. It stays in the line. */
    public fun peek(): T? = rotation(nextPriority()).peek()

    /** Removes the entry that [peek] returns, and counts its turn. */
    public fun removeNext() {
        val priority = nextPriority()
        rotation(priority).removeNext()
        startsSinceBatch = if (priority == RequestPriority.BATCH) 0 else startsSinceBatch + 1
    }

    /** Removes [entry] without a turn, and returns whether it waited. */
    public fun remove(
        ticket: AdmissionTicket,
        entry: T,
    ): Boolean = rotation(ticket.priority).remove(ticket.team, entry)

    private fun nextPriority(): RequestPriority {
        val interactive = rotation(RequestPriority.INTERACTIVE).size
        val batch = rotation(RequestPriority.BATCH).size
        val batchIsDue = batch > 0 && startsSinceBatch >= TURNS_PER_BATCH_TURN
        return if (interactive == 0 || batchIsDue) RequestPriority.BATCH else RequestPriority.INTERACTIVE
    }

    private fun rotation(priority: RequestPriority): FairTeamQueue<T> = priorities.getValue(priority)

    private companion object {
        const val TURNS_PER_BATCH_TURN = 8
    }
}
