package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import plantainturn.connection.http.HeldBytes
import plantainturn.process.time.Moment
import java.io.IOException
import java.nio.channels.ClosedChannelException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests on one connection to a server, one at a time, and decodes their answers.
 *
 * Answers to other requests are skipped, and the number of bytes beyond the awaited answer is limited, as is the memory
 * of all answers that are not complete. The connection
 * is reused only if the answer was complete and delimited by its length or by chunks, the request was sent completely,
 * and no byte followed the answer.
 */
internal class UpstreamConnection(
    private val decoder: StrictResponseDecoder,
    private val pool: ConnectionPool,
) : ChannelInboundHandlerAdapter(),
    HeldBytes.Holder {
    private lateinit var context: ChannelHandlerContext
    private var receiver: AnswerReceiver? = null
    private var sendFuture: ChannelFuture? = null
    private var skipping = false
    private var answering = false
    private var reusable = true
    private var failure: String? = null
    private var requestCount = 0
    private var informationalCount = 0
    private var held = 0L
    private var sentAt = Moment.ORIGIN

    /** When the connection last became idle. */
    var idleSince: Moment = Moment.ORIGIN

    /** How long the connection may be reused after it became idle, null if the server stated no keep-alive timeout. */
    var idleLimit: Duration? = null
        private set

    val isOpen: Boolean
        get() = context.channel().isActive

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    /** Sends [request] and passes its answer to [receiver]. Takes ownership of [request]. */
    fun send(
        request: FullHttpRequest,
        receiver: AnswerReceiver,
    ) {
        check(this.receiver == null) { "connection already has a request in progress" }
        this.receiver = receiver
        requestCount += 1
        informationalCount = 0
        sentAt = pool.timer.now()
        decoder.method = request.method()
        decoder.isAwaited = true
        decoder.surplus.onRequest()
        sendFuture = context.writeAndFlush(request).addListener { future -> onSent(future.cause()) }
    }

    /**
     * Records that sending failed, so that the end of the connection is not taken for the end of an answer.
     *
     * The system reports a reset once only, to whichever of a write and a read comes first. After a failed write, the
     * connection is closed without an exception, as at its regular end. If it was closed before the write could end,
     * nothing is known of a reset.
     */
    private fun onSent(cause: Throwable?) {
        if (cause == null || cause is ClosedChannelException) return
        if (failure == null) failure = "connection reset while the request was being sent: ${cause.message}"
    }

    /**
     * Abandons the request in progress, if any, without a call to its receiver, and closes the connection.
     *
     * While the server has not begun to answer, only the output is shut down at first. The server sees at once that the
     * request was cancelled, and the headers of an answer that it has just sent can still be evaluated by the pool.
     */
    fun abandon() {
        val channel = context.channel()
        val awaitsAnswer = receiver != null && !answering && sendFuture?.isDone == true
        receiver = null
        hold(0)
        if (awaitsAnswer && channel is SocketChannel && channel.isActive) {
            channel.shutdownOutput()
            pool.timer.schedule(HALF_CLOSE_TIMEOUT) { context.close() }
        } else {
            context.close()
        }
    }

    /** Pauses or resumes reading, as backpressure from a slow caller. */
    fun setReading(reading: Boolean) {
        context.channel().config().isAutoRead = reading
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpResponse) onHead(message)
            if (message is HttpContent) onContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        receiver?.onReadComplete()
        val current = receiver
        when {
            current == null -> hold(0)
            answering -> hold(current.heldBytes)
            else -> hold(decoder.surplus.count * MEMORY_OF_HEAD_BYTE)
        }
    }

    override fun toString(): String = "server=${context.channel().remoteAddress()}"

    override fun giveUp(reason: String) {
        held = 0
        fail(reason)
    }

    private fun hold(bytes: Long) {
        val counted = if (bytes < LEAST_HELD_BYTES) 0 else bytes
        if (counted == held) return
        held = counted
        pool.held.update(this, counted)
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        fail(if (cause is IOException) "connection reset: ${cause.message}" else "undecodable: ${cause.message}")
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.onClosed(this)
        fail("connection closed by the server")
    }

    private fun onHead(head: HttpResponse) {
        val current = receiver
        if (head.decoderResult().isFailure) {
            fail("undecodable head: ${head.decoderResult().cause()?.message}")
            return
        }
        if (decoder.isJoined(head)) {
            fail("head contains the status line of another answer")
            return
        }
        val informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (informational && !isInformationalExpected(head)) {
            fail("informational answer ${head.status().code()} that no request asked for, or too many of them")
            return
        }
        val ownership =
            if (current == null || answering || informational) null else current.ownershipOf(head, requestCount - 1)
        pool.onHead(head, sentAt.takeIf { ownership == AnswerOwnership.OWN })
        when {
            current == null || answering -> fail("answer without a request in progress")
            ownership == null -> skipping = true
            else -> beginAnswer(current, head, ownership)
        }
    }

    /** No request asks for an upgrade, so that 101 would turn what follows into something other than HTTP. */
    private fun isInformationalExpected(head: HttpResponse): Boolean {
        informationalCount += 1
        return head.status() != HttpResponseStatus.SWITCHING_PROTOCOLS &&
            informationalCount <= MAXIMUM_INFORMATIONAL
    }

    private fun beginAnswer(
        current: AnswerReceiver,
        head: HttpResponse,
        ownership: AnswerOwnership,
    ) {
        when (ownership) {
            AnswerOwnership.OWN -> {
                answering = true
                updateReusable(head)
                current.onHead(head)
            }
            AnswerOwnership.OTHER -> {
                skipping = true
                reusable = false
            }
            AnswerOwnership.UNCLEAR -> fail("answer cannot be attributed to a request")
        }
    }

    private fun updateReusable(head: HttpResponse) {
        val framed = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head)
        val early = sendFuture?.isDone != true
        if (!framed || early || !HttpUtil.isKeepAlive(head)) reusable = false
        idleLimit = keepAliveTimeout(head) ?: idleLimit
    }

    private fun onContent(content: HttpContent) {
        if (content.decoderResult().isFailure) {
            fail("undecodable body: ${content.decoderResult().cause()?.message}")
            return
        }
        val last = content is LastHttpContent
        if (skipping) {
            if (last) skipping = false
            return
        }
        val current = receiver ?: return
        if (!answering) return
        deliver(current, content.content(), last)
    }

    private fun deliver(
        current: AnswerReceiver,
        content: ByteBuf,
        last: Boolean,
    ) {
        decoder.surplus.onBody(content.readableBytes())
        if (content.isReadable) current.onContent(content)
        if (!last || receiver !== current) return
        if (failure != null) {
            fail(failure.orEmpty())
            return
        }
        receiver = null
        answering = false
        hold(0)
        decoder.isAwaited = false
        if (decoder.hasTrailingBytes()) reusable = false
        current.onEnd()
        // The caller of this answer may have paused reading, and the next answer has another caller.
        setReading(true)
        pool.timer.schedule(Duration.ZERO) { returnToPool() }
    }

    /**
     * Returns the connection to the pool if it can be reused, and closes it otherwise.
     *
     * This runs as a separate task, after everything that has arrived was decoded, so that surplus bytes are noticed
     * before the next request is sent.
     */
    private fun returnToPool() {
        if (receiver != null) return
        if (reusable && isOpen) pool.onIdle(this) else context.close()
    }

    private fun fail(reason: String) {
        if (failure == null) failure = reason
        reusable = false
        val current = receiver
        receiver = null
        hold(0)
        current?.onBroken(failure.orEmpty())
        context.close()
    }

    private fun keepAliveTimeout(head: HttpResponse): Duration? =
        head
            .headers()
            .get(KEEP_ALIVE)
            ?.substringAfter("timeout=", "")
            ?.takeWhile { it.isDigit() }
            ?.toLongOrNull()
            ?.let { it.seconds - KEEP_ALIVE_MARGIN }

    private companion object {
        const val KEEP_ALIVE = "Keep-Alive"

        /** The server's timeout starts when it sends the answer, and its close reaches this node with a delay. */
        val KEEP_ALIVE_MARGIN = 400.milliseconds

        /** Far above what servers send before an answer, one or two. */
        const val MAXIMUM_INFORMATIONAL = 32

        /** A header of a few bytes takes two strings and an entry. */
        const val MEMORY_OF_HEAD_BYTE = 32L

        /** Short answers and events are not counted, which are most. */
        const val LEAST_HELD_BYTES = 4_096L

        /** Many round trips. Limits how long a server works on that does not notice the shutdown. */
        val HALF_CLOSE_TIMEOUT = 200.milliseconds
    }
}
