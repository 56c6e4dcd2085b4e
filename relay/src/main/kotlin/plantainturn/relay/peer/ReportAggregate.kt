package plantainturn.relay.peer

import plantainturn.request.relay.WorkTotals

/**
 * Aggregates the reports of all nodes.
 *
 * Computed once for many exchanges, so that the cost of an exchange does not grow with the number of nodes.
 *
 * @param reports the newest report of each node, by node
 * @param agesMilliseconds how long ago each of them came
 */
internal class ReportAggregate(
    private val reports: Map<String, NodeReport>,
    agesMilliseconds: Map<String, Long> = emptyMap(),
) {
    private val work = HashMap<String, WorkTotals>()

    /** Milliseconds for which each instance remains suspected, the maximum over all nodes. */
    val suspects: Map<String, Long>

    /** Runs of instances that announced to some node that they are leaving. */
    val departures: List<RelayedDeparture> = reports.values.flatMap { it.departures }.distinct()

    /** The latest ends of the topics that any node has read. */
    val ends: TopicEnds? = reports.values.map { it.ends }.reduceOrNull(TopicEnds::latest)

    init {
        val longestSuspicions = HashMap<String, Long>()
        for ((node, report) in reports) {
            val age = agesMilliseconds[node] ?: 0
            for ((instance, part) in report.work) work.merge(instance, part.aged(age), WorkTotals::plus)
            for ((instance, remaining) in report.suspects) longestSuspicions.merge(instance, remaining, ::maxOf)
        }
        suspects = longestSuspicions
    }

    /** Returns how many requests of all nodes run at [instance]. */
    fun runningAt(instance: String): Int = work[instance]?.running ?: 0

    /** Returns the work of all nodes except [node] at each instance. */
    fun workOfOthers(node: String): Map<String, WorkTotals> {
        val own = reports[node]?.work.orEmpty()
        if (own.isEmpty()) return work
        val others = HashMap(work)
        for ((instance, part) in own) {
            others.computeIfPresent(instance) { _, total -> (total - part).takeIf { it.running > 0 } }
        }
        return others
    }
}
