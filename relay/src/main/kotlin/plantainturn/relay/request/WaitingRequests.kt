package plantainturn.relay.request

import plantainturn.version.configuration.ModelName

/**
 * The requests that wait for a model or adapter to be resident.
 *
 * They are looked at again whenever residence changes: the most urgent first, then those that came first.
 */
internal class WaitingRequests {
    private val waiting = LinkedHashSet<RelayExchange>()

    /** Requests that wait. */
    val size: Int
        get() = waiting.size

    fun add(exchange: RelayExchange) {
        waiting += exchange
    }

    fun remove(exchange: RelayExchange) {
        waiting -= exchange
    }

    /** Returns how many requests wait for each model. */
    fun byModel(): Map<ModelName, Int> =
        waiting
            .mapNotNull { it.awaitedModel }
            .groupingBy { it }
            .eachCount()

    /** Turns away all that wait: another node can serve them. */
    fun stop(): Unit = waiting.toList().forEach { it.onStopping() }

    /** Lets each request look whether it can go on. */
    fun retryAll() {
        if (waiting.isEmpty()) return
        waiting.sortedBy { it.urgency }.forEach { it.retryDispatch() }
    }
}
