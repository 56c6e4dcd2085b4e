package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.ResultCode
import plantainturn.version.configuration.UpstreamName

/**
 * The way of one request through other nodes, while this one is cut off from its service or finds no connection for it.
 *
 * A request that was handed over once is not handed on, so that two nodes that are cut off don't pass it to and fro.
 */
internal class RequestDetour(
    private val context: RelayContext,
    private val exchange: RelayExchange,
) {
    private val refusingPeers = LinkedHashSet<SocketLocation>()
    private val unreachable = LinkedHashSet<UpstreamName>()
    private var send: ForwardedSend? = null

    /** Whether another node has the request, or is to get it. */
    val isUnderWay: Boolean
        get() = send != null

    /** Whether another node was sent the request. */
    val isSent: Boolean
        get() = send?.sentAt != null

    private val isCallers: Boolean
        get() = exchange.account.terms == null

    /** Whether this node has no path for the request, as far as known. */
    val isNeeded: Boolean
        get() {
            val service = exchange.service.name
            if (context.links.reach.isCutOff(service)) return true
            if (!isCallers || unreachable.isEmpty()) return false
            val hasOther = exchange.placement.isHeldElsewhere(unreachable)
            return context.links.reach.isOutOfReach(service, unreachable, hasOther)
        }

    /** Records that no connection to [instance] could be opened for the request. */
    fun onUnreachable(instance: UpstreamName) {
        unreachable += instance
    }

    /** Hands the request over, or gives it up if it can't be. Returns false if this node should try by itself. */
    fun begin(): Boolean {
        val forwarder = context.peers.forwarder
        if (isCallers && (exchange.isBoundToVersion || !forwarder.hasPeers)) return false
        val peer = if (isCallers) forwarder.choose(refusingPeers) else null
        when {
            peer == null || refusingPeers.size >= RequestLimits.MAXIMUM_ARRIVALS -> giveUp()
            exchange.history.mayRepeat() -> handOver(peer)
            else -> exchange.giveUpRepeating()
        }
        return true
    }

    private fun giveUp() {
        val state = context.links.reach.stateOf(exchange.service.name)
        exchange.giveUp(
            ResultCode.CUT_OFF,
            ResultCode.OUTCOME_UNKNOWN,
            "reach=$state handedOver=${exchange.account.terms != null} refusingPeers=$refusingPeers",
            minOf(RequestLimits.CUT_OFF_RETRY_AFTER, exchange.maximumRetryAfter()),
        )
    }

    private fun handOver(peer: SocketLocation) {
        val history = exchange.history
        val account = exchange.account
        exchange.residenceWait.stop(sent = true)
        history.arrivals += 1
        val terms = ForwardTerms(history.attempts - history.runs, account.account?.name?.value, account.hasAccounts)
        val begun = ForwardedSend(context, exchange, this, peer, terms)
        send = begun
        context.eventLog.record(
            exchange.request.identifier,
            "forward",
            "route=${exchange.route.name} $begun reach=${context.links.reach.stateOf(exchange.service.name)} " +
                "unreachable=$unreachable left=${exchange.timeLeft()} after=${exchange.resumeAfter}",
        )
        val repeatable = exchange.route.repetition.repeatable
        begun.begin(
            if (repeatable) RequestLimits.MAXIMUM_IDLE_IF_REPEATABLE else RequestLimits.MAXIMUM_IDLE_IF_NOT_REPEATABLE,
        )
    }

    /** Ends what is under way, whose result is no longer needed. */
    fun cancel() {
        send?.cancel()
        send = null
    }

    /** Pauses or resumes reading the answer, as backpressure from a slow caller. */
    fun setReading(reading: Boolean) {
        send?.setReading(reading)
    }

    /** Records that the answer is complete. */
    fun onEnd() {
        send = null
    }

    /** Handles that [failed] could not be handed over: the other node did not get it, or says that it won't run it. */
    fun onNotTaken(
        failed: ForwardedSend,
        reason: String,
    ) {
        context.eventLog.record(exchange.request.identifier, "not-forwarded", "$failed reason=\"$reason\"")
        send = null
        refusingPeers += failed.peer
        exchange.history.arrivals -= 1
        exchange.onNotForwarded()
    }

    /** Handles the refusal of the other node for a reason that holds at any node. */
    fun onRefused(
        from: ForwardedSend,
        head: HttpResponse,
        body: ByteBuf,
        code: ResultCode,
    ) {
        send = null
        val refusal = BufferedAnswer(head.status().code(), context.dialect.callerHeaders(head), body)
        exchange.onForwardRefused(refusal, code, "$from")
    }

    /** Handles a complete answer of an instance that the other node has brought. */
    fun onAnswer(
        from: ForwardedSend,
        head: HttpResponse,
        body: ByteBuf,
        metadata: AnswerMetadata,
    ) {
        send = null
        exchange.onWholeAnswer("$from", head, body, metadata)
    }

    /** Handles an answer that broke off; the request may have run. */
    fun onBroken(
        from: ForwardedSend,
        reason: String,
    ) {
        send = null
        refusingPeers += from.peer
        exchange.onForwardBroken(reason, "$from")
    }
}
