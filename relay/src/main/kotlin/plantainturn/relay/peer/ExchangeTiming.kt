package plantainturn.relay.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines how often nodes exchange reports with the issuer, and when a silent peer counts as lost.
 *
 * Load pattern: one issuer on a small VM and a growing number of nodes. The total rate of exchanges stays below what
 * the issuer can answer: an overloaded issuer would count as lost, and every node would then read the store itself.
 */
internal object ExchangeTiming {
    private val MINIMUM_PERIOD = 200.milliseconds

    /** Limits the exchanges of all nodes together to 250 per second. */
    private val PERIOD_PER_NODE = 4.milliseconds
    private val MINIMUM_ISSUER_TIMEOUT = 900.milliseconds
    private val MINIMUM_NODE_TIMEOUT = 1_500.milliseconds
    private val MINIMUM_ARRIVALS_AGE = 1_000.milliseconds

    /** Limits the origins of streams that all exchanges together carry, to some hundred kilobytes per second. */
    private const val STREAMS_PER_SECOND = 4_000
    private const val ISSUER_TIMEOUT_PERIODS = 4
    private const val MILLISECONDS_PER_SECOND = 1_000
    private const val NODE_TIMEOUT_PERIODS = 5
    private const val ARRIVALS_AGE_PERIODS = 4

    /** Returns how many origins of streams the issuer's report to each of [nodes] nodes contains at most. */
    fun streamsPerReport(nodes: Int): Int =
        (STREAMS_PER_SECOND * period(nodes).inWholeMilliseconds / (MILLISECONDS_PER_SECOND * maxOf(1, nodes))).toInt()

    /** Returns the time between two exchanges of each node if there are [nodes] nodes. */
    fun period(nodes: Int): Duration = maxOf(MINIMUM_PERIOD, PERIOD_PER_NODE * nodes)

    /** Returns how long the issuer may be silent before another node should take over. */
    fun issuerTimeout(nodes: Int): Duration = maxOf(MINIMUM_ISSUER_TIMEOUT, period(nodes) * ISSUER_TIMEOUT_PERIODS)

    /** Returns how long a node may be silent before the issuer no longer counts it. */
    fun nodeTimeout(nodes: Int): Duration = maxOf(MINIMUM_NODE_TIMEOUT, period(nodes) * NODE_TIMEOUT_PERIODS)

    /** Returns up to which age the issuer's report of expected model arrivals is used. */
    fun maximumArrivalsAge(nodes: Int): Duration = maxOf(MINIMUM_ARRIVALS_AGE, period(nodes) * ARRIVALS_AGE_PERIODS)
}
