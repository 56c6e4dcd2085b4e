package plantainturn.relay.request

import plantainturn.version.configuration.ModelName

/**
 * The requests that wait for a model or adapter to be resident.
 *
 * They are dispatched again whenever residence changes, the most urgent first and then in the order of waiting.
 */
internal class WaitingRequests {
    private val waiting = LinkedHashSet<RelayExchange>()

    /** Number of waiting requests. */
    val size: Int
        get() = waiting.size

    fun add(exchange: RelayExchange) {
        waiting += exchange
    }

    fun remove(exchange: RelayExchange) {
        waiting -= exchange
    }

    /** Returns the number of waiting requests by model. */
    fun byModel(): Map<ModelName, Int> =
        waiting
            .mapNotNull { it.awaitedModel }
            .groupingBy { it }
            .eachCount()

    /** Refuses all waiting requests, as this node stops and another one can serve them. */
    fun stop(): Unit = waiting.toList().forEach { it.onStopping() }

    /** Tries again to dispatch each waiting request. */
    fun retryAll() {
        if (waiting.isEmpty()) return
        waiting.sortedBy { it.urgency }.forEach { it.retryDispatch() }
    }
}
