package plantainturn.relay.peer

import plantainturn.request.relay.WorkTotals

/**
 * What the reports of all nodes say together.
 *
 * Made once for many exchanges, so that the cost of an exchange does not grow with the number of nodes.
 *
 * @param reports the newest report of each node, by node
 */
internal class ReportAggregate(
    private val reports: Map<String, NodeReport>,
) {
    private val work = HashMap<String, WorkTotals>()

    /** Milliseconds for which instances are suspected, the longestSuspicions of all nodes. */
    val suspects: Map<String, Long>

    /** Instances of which some node heard that they leave. */
    val departures: List<RelayedDeparture> = reports.values.flatMap { it.departures }.distinct()

    /** Where the topics ended, as far as any node has read. */
    val ends: TopicEnds? = reports.values.map { it.ends }.reduceOrNull(TopicEnds::latest)

    init {
        val longestSuspicions = HashMap<String, Long>()
        for (report in reports.values) {
            for ((instance, part) in report.work) work.merge(instance, part, WorkTotals::plus)
            for ((instance, remaining) in report.suspects) longestSuspicions.merge(instance, remaining, ::maxOf)
        }
        suspects = longestSuspicions
    }

    /** Returns the work of all nodes but [node] at each instance. */
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
