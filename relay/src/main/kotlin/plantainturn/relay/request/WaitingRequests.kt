package plantainturn.relay.request

import plantainturn.request.admission.FairQueue
import plantainturn.version.configuration.ModelName
import plantainturn.version.route.ClientAccountName

/**
 * The requests that wait for a model or adapter to be resident.
 *
 * They are dispatched again whenever residence changes, by account in turn, and within an account the most urgent first
 * and then in the order of waiting. Load pattern: one account sends many times its usual load while models are being
 * loaded; the others' requests get their turns regardless of how many of its requests wait. Requests without an account
 * share one turn; without accounts in the configuration, all requests go by urgency and then in the order of waiting.
 *
 * A request counts for the account that it had when it began to wait, also if that account is removed meanwhile.
 */
internal class WaitingRequests {
    private val queue = FairQueue<ClientAccountName?, WaitingRequest>()
    private val accounts = HashMap<WaitingRequest, ClientAccountName?>()

    /** Number of waiting requests. */
    val size: Int
        get() = queue.size

    /** Number of waiting requests by account, null for those without one; accounts without any are left out. */
    val byAccount: Map<ClientAccountName?, Int>
        get() = queue.sizes

    /** Adds [request], unless it is waiting already. */
    fun add(request: WaitingRequest) {
        if (request in accounts) return
        val account = request.accountName
        accounts[request] = account
        queue.add(account, request)
    }

    /** Removes [request], which uses its account's turn if it was [sent]. */
    fun remove(
        request: WaitingRequest,
        sent: Boolean,
    ) {
        if (request !in accounts) return
        val account = accounts.remove(request)
        if (sent) queue.serve(account, request) else queue.remove(account, request)
    }

    /** Returns the number of waiting requests by model. */
    fun byModel(): Map<ModelName, Int> =
        queue.entries
            .mapNotNull { it.awaitedModel }
            .groupingBy { it }
            .eachCount()

    /** Refuses all waiting requests, as this node stops and another one can serve them. */
    fun stop(): Unit = queue.entries.forEach { it.onStopping() }

    /** Tries again to dispatch each waiting request. */
    fun retryAll(): Unit = queue.offerEach(BY_URGENCY) { it.retryDispatch() }

    private companion object {
        val BY_URGENCY = compareBy<WaitingRequest> { it.urgency }
    }
}
