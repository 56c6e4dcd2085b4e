package plantainturn.relay.node

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses how long a node waits before it tells all others what they may be about to tell, too.
 *
 * Load pattern: after an outage all nodes get answers with the same part of a prompt at the same time, and news takes a
 * second to reach all of hundreds of nodes. With equally distributed delays most of them would tell it. With truncated
 * exponential ones few do, whatever their number.
 */
internal object SuppressionDelay {
    /** News reaches so few nodes within a fraction of [SHORT_WINDOW]. */
    private const val FEW_NODES = 24
    private val SHORT_WINDOW = 600.milliseconds
    private val LONG_WINDOW = 3.seconds

    /** Returns the delay of one of [nodes] nodes. */
    fun next(
        nodes: Int,
        random: Random,
    ): Duration {
        if (nodes <= FEW_NODES) return SHORT_WINDOW * random.nextDouble()
        val rate = ln(nodes.toDouble()) + 1
        return LONG_WINDOW * (ln(random.nextDouble() * (exp(rate) - 1) + 1) / rate)
    }
}
