package plantainturn.request.admission

import plantainturn.version.configuration.TeamName

/**
 * A queue that is fair among teams, by start-time fair queueing.
 *
 * Each request of a team advances its start tag by the inverse of its share; the team with the lowest start tag is
 * next. A team that was idle rejoins at the current virtual time, so that it can't accumulate credit.
 */
internal class FairTeamQueue<T : Any> {
    private class TeamQueue<T>(
        var startTag: Double,
        var share: Int,
    ) {
        val entries = ArrayDeque<T>()
    }

    private val teams = LinkedHashMap<TeamName, TeamQueue<T>>()
    private var virtualTime = 0.0

    var size = 0
        private set

    fun sizeOf(team: TeamName): Int = teams[team]?.entries?.size ?: 0

    fun add(
        team: TeamName,
        share: Int,
        entry: T,
        atFront: Boolean,
    ) {
        val queue = teams.getOrPut(team) { TeamQueue(virtualTime, share) }
        queue.share = share.coerceAtLeast(1)
        if (atFront) queue.entries.addFirst(entry) else queue.entries.addLast(entry)
        size += 1
    }

    fun peek(): T? = nextTeam()?.entries?.first()

    fun removeNext() {
        val queue = nextTeam() ?: return
        queue.entries.removeFirst()
        size -= 1
        virtualTime = queue.startTag
        queue.startTag += 1.0 / queue.share
        removeIdleTeams()
    }

    fun remove(
        team: TeamName,
        entry: T,
    ): Boolean {
        val removed = teams[team]?.entries?.remove(entry) ?: false
        if (removed) size -= 1
        return removed
    }

    private fun nextTeam(): TeamQueue<T>? =
        teams.values
            .filter { it.entries.isNotEmpty() }
            .minByOrNull { it.startTag }

    private fun removeIdleTeams() {
        teams.values.removeIf { it.entries.isEmpty() && it.startTag <= virtualTime }
    }
}
