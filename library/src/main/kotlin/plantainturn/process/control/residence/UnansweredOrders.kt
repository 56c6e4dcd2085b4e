package plantainturn.process.control.residence

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Remembers the orders of this node and of earlier issuers that may still be executed.
 *
 * An order is remembered from its sending until it is answered or [delayBound] has passed. Nothing else ends it: an
 * engine that starts again under its identifier counts its orders anew, so it may execute an order that its last run
 * had left behind, also after its entry was missing or the issuer has changed.
 *
 * Not thread-safe: confined to one thread.
 *
 * @param delayBound the longest time from the sending of an order to its execution
 */
public class UnansweredOrders(
    private val delayBound: Duration = DEFAULT_DELAY_BOUND,
) {
    private val own = ArrayList<Sent>()
    private val reported = HashMap<String, List<UnansweredOrder>>()

    /** Records that [order] is being sent at [now]. */
    public fun onSent(
        order: SequencedOrder,
        now: Moment,
    ) {
        val unanswered = UnansweredOrder(order.engine, order.action, order.expectedSequence, now + delayBound)
        own += Sent(order, unanswered)
    }

    /** Records that [order] was answered or not sent, so that it can't be executed later. */
    public fun onAnswered(order: SequencedOrder) {
        own.removeAll { it.order === order }
    }

    /** Replaces what [source], the session of an issuer or another node, has reported by [orders]. */
    public fun onReport(
        source: String,
        orders: List<UnansweredOrder>,
    ) {
        if (orders.isEmpty()) reported.remove(source) else reported[source] = orders
    }

    /** Returns all orders that may be executed at [now] or later, without those that only [except] has reported. */
    public fun all(
        now: Moment,
        except: String? = null,
    ): List<UnansweredOrder> = matching(now, except) { true }

    /** Returns the orders to [engine] that may be executed at [now] or later. */
    public fun at(
        engine: UpstreamName,
        now: Moment,
    ): List<UnansweredOrder> = matching(now) { it.engine == engine }

    private fun matching(
        now: Moment,
        except: String? = null,
        condition: (UnansweredOrder) -> Boolean,
    ): List<UnansweredOrder> {
        if (own.isEmpty() && reported.isEmpty()) return emptyList()
        dropExpired(now)
        val ofThisNode = own.map { it.unanswered }.filter(condition)
        if (reported.isEmpty()) return ofThisNode
        val ofOthers =
            reported
                .filterKeys { it != except }
                .values
                .flatten()
                .filter(condition)
        return (ofThisNode + ofOthers)
            .sortedByDescending { it.expiresAt }
            .distinctBy { Triple(it.engine, it.action, it.expectedSequence) }
    }

    private fun dropExpired(now: Moment) {
        own.removeAll { it.unanswered.expiresAt <= now }
        reported.replaceAll { _, orders -> orders.filter { it.expiresAt > now } }
        reported.values.removeAll { it.isEmpty() }
    }

    private class Sent(
        val order: SequencedOrder,
        val unanswered: UnansweredOrder,
    )

    private companion object {
        /** One second more than an order can be delayed: the call that sends it takes a part of that. */
        val DEFAULT_DELAY_BOUND = SequencedOrder.MAXIMUM_EXECUTION_DELAY + 1.seconds
    }
}
