package plantainturn.request.admission

import plantainturn.request.RequestPriority
import plantainturn.version.configuration.TeamName

/**
 * Orders the requests that wait for one model.
 *
 * Interactive requests go first, except that a waiting batch request is started after
 * [INTERACTIVE_STARTS_PER_BATCH_START] interactive ones. Within a priority, teams are served in proportion to their
 * shares, regardless of how many requests each has waiting; within a team, the oldest request goes first. Not
 * thread-safe.
 */
public class PriorityRequestQueue<T : Any> {
    private val queues = RequestPriority.entries.associateWith { FairQueue<TeamName, T>() }
    private var startsSinceBatch = 0

    /** The number of waiting requests. */
    public val size: Int get() = queues.values.sumOf { it.size }

    /** Returns the number of waiting requests of [team]. */
    public fun sizeOf(team: TeamName): Int = queues.values.sumOf { it.sizeOf(team) }

    /** Returns how many requests would start before a new one of [priority], counting those of all other teams. */
    public fun requestsAhead(priority: RequestPriority): Int {
        val interactive = queueOf(RequestPriority.INTERACTIVE).size
        val batch = queueOf(RequestPriority.BATCH).size
        return when (priority) {
            RequestPriority.INTERACTIVE -> interactive + minOf(batch, interactive / INTERACTIVE_STARTS_PER_BATCH_START)
            RequestPriority.BATCH -> interactive + batch
        }
    }

    /** Adds [entry], ahead of the team's other requests if [atFront]. */
    public fun add(
        ticket: AdmissionTicket,
        entry: T,
        atFront: Boolean = ticket.resumed,
    ): Unit = queueOf(ticket.priority).add(ticket.team, entry, ticket.share, atFront)

    /** Returns the next entry without removing it, or null if none waits. */
    public fun peek(): T? = queueOf(nextPriority()).peek()

    /** Removes the entry that [peek] returns, and counts it as started. */
    public fun removeNext() {
        val priority = nextPriority()
        queueOf(priority).removeNext()
        startsSinceBatch = if (priority == RequestPriority.BATCH) 0 else startsSinceBatch + 1
    }

    /** Removes [entry] without counting it as started, and returns whether it was waiting. */
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

    private fun queueOf(priority: RequestPriority): FairQueue<TeamName, T> = queues.getValue(priority)

    private companion object {
        const val INTERACTIVE_STARTS_PER_BATCH_START = 8
    }
}
