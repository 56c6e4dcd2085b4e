package plantainturn.relay.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How often nodes exchange with the issuer, and what silence means.
 *
 * Load pattern: one issuer on a small VM and ever more nodes. All nodes together keep to a number of exchanges a second
 * that it can answer; a starved issuer would be taken for lost, and every node would then read the store by itself.
 */
internal object ExchangeTiming {
    private val MINIMUM_PERIOD = 200.milliseconds

    /** Keeps all exchanges together below 250 a second. */
    private val PERIOD_PER_NODE = 4.milliseconds
    private val MINIMUM_ISSUER_TIMEOUT = 900.milliseconds
    private val MINIMUM_NODE_TIMEOUT = 1_500.milliseconds
    private val MINIMUM_ARRIVALS_AGE = 1_000.milliseconds
    private const val ISSUER_TIMEOUT_PERIODS = 4
    private const val NODE_TIMEOUT_PERIODS = 5
    private const val ARRIVALS_AGE_PERIODS = 4

    /** Returns the time between two exchanges of one of [nodes] nodes. */
    fun period(nodes: Int): Duration = maxOf(MINIMUM_PERIOD, PERIOD_PER_NODE * nodes)

    /** Returns how long the issuer may be silent before another one should take over. */
    fun issuerTimeout(nodes: Int): Duration = maxOf(MINIMUM_ISSUER_TIMEOUT, period(nodes) * ISSUER_TIMEOUT_PERIODS)

    /** Returns how long a node may be silent before the issuer counts it no more. */
    fun nodeTimeout(nodes: Int): Duration = maxOf(MINIMUM_NODE_TIMEOUT, period(nodes) * NODE_TIMEOUT_PERIODS)

    /** Returns how old the issuer's news of models on their way may be. */
    fun maximumArrivalsAge(nodes: Int): Duration = maxOf(MINIMUM_ARRIVALS_AGE, period(nodes) * ARRIVALS_AGE_PERIODS)
}
