package plantainturn.relay.request

import plantainturn.process.time.Moment
import plantainturn.request.relay.ResidenceWaitLimit
import kotlin.time.Duration

/** The time that one request waits for a model or adapter to be resident. */
internal class ResidenceWait(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val waiter: WaitingRequest,
) {
    private var since: Moment? = null
    private var limit: ResidenceWaitLimit? = null

    /** Whether the request waits now. */
    val isWaiting: Boolean
        get() = since != null

    /** How long it has been waiting. */
    val elapsed: Duration
        get() = since?.let { context.timer.now() - it } ?: Duration.ZERO

    /** Begins to wait, unless the request does already; its caller waits for [timeLeft] more. */
    fun start(timeLeft: Duration) {
        if (since != null) return
        val now = context.timer.now()
        since = now
        if (limit == null) limit = ResidenceWaitLimit(now, timeLeft)
        context.waiting.add(waiter)
        val demand = request.demand
        context.eventLog.record(request.identifier, "wait", "model=${demand?.model} adapter=${demand?.adapter}")
    }

    /** Ends the wait; a request that is [sent] uses the turn of its account. */
    fun stop(sent: Boolean) {
        if (since == null) return
        since = null
        context.waiting.remove(waiter, sent)
    }

    /** Returns whether to wait on for an adapter that no engine could load now. */
    fun shouldWaitForAdapter(): Boolean = limit?.shouldWaitForAdapter(context.timer.now()) != false

    /** Returns whether to wait on for a model that is expected after [arrival], with [left] for the answer to begin. */
    fun shouldWaitForModel(
        arrival: Duration?,
        left: Duration,
    ): Boolean = limit?.shouldWaitForModel(arrival, left, context.timer.now()) != false
}
