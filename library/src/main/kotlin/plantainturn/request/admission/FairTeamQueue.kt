package plantainturn.request.admission

import plantainturn.version.configuration.TeamName

/**
 * Turns among the teams that wait, by start-time fair queueing.
 *
 * Each turn of a team costs the inverse of its share in virtual time; the team with the lowest virtual time is next.
 * A team that was absent joins at the present virtual time, so that it can't save up turns.
 */
internal class FairTeamQueue<T : Any> {
    private class Waiting<T>(
        var start: Double,
        var share: Int,
    ) {
        val entries = ArrayDeque<T>()
    }

    private val teams = LinkedHashMap<TeamName, Waiting<T>>()
    private var virtualTime = 0.0

    var size = 0
        private set

    fun sizeOf(team: TeamName): Int = teams[team]?.entries?.size ?: 0

    fun add(
        team: TeamName,
        share: Int,
        entry: T,
        first: Boolean,
    ) {
        val waiting = teams.getOrPut(team) { Waiting(virtualTime, share) }
        waiting.share = share.coerceAtLeast(1)
        if (first) waiting.entries.addFirst(entry) else waiting.entries.addLast(entry)
        size += 1
    }

    fun peek(): T? = next()?.entries?.first()

    fun removeNext() {
        val waiting = next() ?: return
        waiting.entries.removeFirst()
        size -= 1
        virtualTime = waiting.start
        waiting.start += 1.0 / waiting.share
        forgetIdle()
    }

    fun remove(
        team: TeamName,
        entry: T,
    ): Boolean {
        val removed = teams[team]?.entries?.remove(entry) ?: false
        if (removed) size -= 1
        return removed
    }

    private fun next(): Waiting<T>? =
        teams.values
            .filter { it.entries.isNotEmpty() }
            .minByOrNull { it.start }

    private fun forgetIdle() {
        teams.values.removeIf { it.entries.isEmpty() && it.start <= virtualTime }
    }
}
