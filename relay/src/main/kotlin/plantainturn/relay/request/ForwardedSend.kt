package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import plantainturn.connection.roster.SocketLocation
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.Outcome
import plantainturn.process.ResultCode
import plantainturn.process.time.Moment
import plantainturn.relay.http.AnswerOwnership
import plantainturn.relay.http.AnswerReceiver
import plantainturn.relay.http.ConnectionResult
import plantainturn.relay.http.UpstreamConnection
import kotlin.time.Duration

/**
 * The handing of one request to another node, and its answer.
 *
 * The [RequestDetour] decides what the result means for the request.
 */
internal class ForwardedSend(
    private val context: RelayContext,
    private val exchange: RelayExchange,
    private val detour: RequestDetour,
    val peer: SocketLocation,
    private val terms: ForwardTerms,
) : AnswerReceiver,
    AnswerSource {
    private var connection: UpstreamConnection? = null
    private var head: HttpResponse? = null
    private var metadata: AnswerMetadata? = null
    private val buffered = ShortAnswer()
    private var ended = false
    private var isStreaming = false

    override var sentAt: Moment? = null
        private set

    override var isDelimited: Boolean = false
        private set

    /** The other node remembers which software version began a stream. */
    override val origin: UpstreamInstance? = null

    override val heldBytes: Long
        get() = if (isStreaming) exchange.heldBytes else buffered.capacity.toLong()

    /** Hands the request over on a connection that was idle for [reuse] at most. */
    fun begin(reuse: Duration) {
        context.peers.forwarder.onBegin(peer)
        context.peers.forwarder.pool(peer).acquire(reuse) { result ->
            when (result) {
                is ConnectionResult.Ready -> write(result.connection)
                is ConnectionResult.Failed ->
                    if (!ended) {
                        end("unreachable", usable = false)
                        detour.onNotTaken(this, result.reason)
                    }
            }
        }
    }

    /** Ends without a result; the other node sees that the connection closes and cancels the request. */
    fun cancel() {
        if (ended) return
        end("cancelled", usable = true)
        connection?.abandon()
        buffered.release()
    }

    override fun setReading(reading: Boolean) {
        connection?.setReading(reading)
    }

    private fun write(ready: UpstreamConnection) {
        if (ended || !exchange.isStillWanted()) {
            context.peers.forwarder
                .pool(peer)
                .onIdle(ready)
            return
        }
        connection = ready
        sentAt = context.timer.now()
        val body =
            exchange.request.source.body
                .retainedDuplicate()
        val message =
            context.dialect.forwardedRequest(
                exchange.request,
                body,
                exchange.timeLeft(),
                exchange.resumeAfter,
                terms.hasAccounts,
            )
        message.headers().set(ForwardTerms.HEADER, terms.encode())
        ready.send(message, this)
    }

    override fun ownershipOf(
        head: HttpResponse,
        earlier: Int,
    ): AnswerOwnership {
        val identifier = context.dialect.answerMetadata(head).identifier
        return when {
            identifier == exchange.request.identifier.value -> AnswerOwnership.OWN
            identifier != null -> AnswerOwnership.OTHER
            earlier == 0 -> AnswerOwnership.OWN
            else -> AnswerOwnership.UNCLEAR
        }
    }

    override fun onHead(head: HttpResponse) {
        this.head = head
        isDelimited = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head)
        val decoded = context.dialect.answerMetadata(head)
        metadata = decoded
        if (decoded.signed) context.links.reach.onHeardElsewhere(exchange.service.name)
        val success = head.status().code() < RequestLimits.FIRST_FAILURE && decoded.signed
        val isLong = HttpUtil.getContentLength(head, 0L) > ShortAnswer.MAXIMUM_BYTES
        isStreaming = success && (exchange.route.repetition.streams || isLong)
    }

    override fun onContent(content: ByteBuf) {
        if (ended) return
        if (isStreaming) {
            exchange.onStreamContent(this, requireNotNull(head), content)
        } else {
            buffered.add(content)?.let(::onBroken)
        }
    }

    override fun onEnd() {
        if (ended) return
        val answer = requireNotNull(head)
        val metadata = requireNotNull(this.metadata)
        val status = answer.status().code()
        val code = metadata.resultCode?.let(ResultCode::ofNumber)
        val incompleteness = if (isStreaming) exchange.incompleteness(this) else null
        when {
            incompleteness != null -> broken(incompleteness)
            isStreaming -> {
                end("answered", usable = true)
                exchange.onStreamEnd(this, answer)
            }
            metadata.signed -> answered(answer, metadata)
            // A node of an older build knows no such requests.
            code == null && status == NOT_FOUND -> notTaken("node of an older build")
            code in NOT_TAKEN -> notTaken("$code")
            code?.outcome == Outcome.NOT_RUN -> {
                end("refused", usable = true)
                detour.onRefused(this, answer, buffered.retained(), code)
            }
            status < RequestLimits.FIRST_FAILURE -> broken("successful answer without the signature of an instance")
            else -> broken("status=$status code=$code")
        }
        buffered.release()
    }

    override fun onBroken(reason: String) {
        if (ended) return
        connection?.abandon()
        buffered.release()
        broken(reason)
    }

    private fun answered(
        answer: HttpResponse,
        metadata: AnswerMetadata,
    ) {
        end("answered", usable = true)
        detour.onAnswer(this, answer, buffered.retained(), metadata)
    }

    private fun notTaken(reason: String) {
        end("not-taken", usable = false)
        detour.onNotTaken(this, reason)
    }

    private fun broken(reason: String) {
        end("broken", usable = true)
        detour.onBroken(this, reason)
    }

    private fun end(
        outcome: String,
        usable: Boolean,
    ) {
        ended = true
        context.peers.forwarder.onEnd(peer, usable)
        context.metrics.onForward(outcome)
    }

    override fun toString(): String = "peer=$peer attempts=${terms.attempts}"

    private companion object {
        const val NOT_FOUND = 404

        /** Results of a node that another one may not have. */
        val NOT_TAKEN =
            setOf(
                ResultCode.CUT_OFF,
                ResultCode.STOPPING,
                ResultCode.NOT_READY,
                ResultCode.PATH_UNKNOWN,
                ResultCode.CONFIGURATION_OUTDATED,
                ResultCode.MEMORY_LIMIT_REACHED,
                ResultCode.REQUEST_TOO_LARGE,
                ResultCode.MALFORMED_REQUEST,
            )
    }
}
