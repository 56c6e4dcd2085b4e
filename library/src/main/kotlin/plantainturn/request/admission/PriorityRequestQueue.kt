package plantainturn.request.admission

import plantainturn.request.RequestPriority
import plantainturn.version.configuration.TeamName

/**
 * The order in which the requests for one model are started.
 *
 * Interactive requests go first, except that a waiting batch request is started after
 * [INTERACTIVE_STARTS_PER_BATCH_START] interactive ones. Within a priority, teams get turns in proportion to their shares, whatever the number of their
 * requests; within a team, the oldest request goes first. Not safe for use by several threads.
 */
public class PriorityRequestQueue<T : Any> {
    private val queues = RequestPriority.entries.associateWith { FairTeamQueue<T>() }
    private var startsSinceBatch = 0

    /** Requests that wait. */
    public val size: Int get() = queues.values.sumOf { it.size }

    /** Returns requests of [team] that wait. */
    public fun sizeOf(team: TeamName): Int = queues.values.sumOf { it.sizeOf(team) }

    /** Returns the turns that go before a new request of [priority], other teams' requests all counted. */
    public fun requestsAhead(priority: RequestPriority): Int {
        val interactive = queueOf(RequestPriority.INTERACTIVE).size
        val batch = queueOf(RequestPriority.BATCH).size
        return when (priority) {
            RequestPriority.INTERACTIVE -> interactive + minOf(batch, interactive / INTERACTIVE_STARTS_PER_BATCH_START)
            RequestPriority.BATCH -> interactive + batch
        }
    }

    /** Adds [entry], before the team's other requests if [first]. */
    public fun add(
        ticket: AdmissionTicket,
        entry: T,
        atFront: Boolean = ticket.resumed,
    ): Unit = queueOf(ticket.priority).add(ticket.team, ticket.share, entry, atFront)

    /** Returns the entry whose turn it is, or null if none waits. It stays in the line. */
    public fun peek(): T? = queueOf(nextPriority()).peek()

    /** Removes the entry that [peek] returns, and counts its turn. */
    public fun removeNext() {
        val priority = nextPriority()
        queueOf(priority).removeNext()
        startsSinceBatch = if (priority == RequestPriority.BATCH) 0 else startsSinceBatch + 1
    }

    /** Removes [entry] without a turn, and returns whether it waited. */
    public fun remove(
        ticket: AdmissionTicket,
        entry: T,
    ): Boolean = queueOf(ticket.priority).remove(ticket.team, entry)

    private fun nextPriority(): RequestPriority {
        val interactive = queueOf(RequestPriority.INTERACTIVE).size
        val batch = queueOf(RequestPriority.BATCH).size
        val batchIsDue = batch > 0 && startsSinceBatch >= INTERACTIVE_STARTS_PER_BATCH_START
        return if (interactive == 0 || batchIsDue) RequestPriority.BATCH else RequestPriority.INTERACTIVE
    }

    private fun queueOf(priority: RequestPriority): FairTeamQueue<T> = queues.getValue(priority)

    private companion object {
        const val INTERACTIVE_STARTS_PER_BATCH_START = 8
    }
}
