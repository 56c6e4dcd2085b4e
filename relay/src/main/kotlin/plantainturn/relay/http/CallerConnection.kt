package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.apache.logging.log4j.LogManager
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.http.HolderStanding
import plantainturn.process.time.Moment
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the requests on one caller's connection and writes their answers in the same order.
 *
 * One request is handled at a time. [gate] holds back the bytes of pipelined requests until the answers before them
 * have been taken by the caller. What the connection holds in memory is counted in [CallerServer.held].
 */
internal class CallerConnection(
    private val server: CallerServer,
) : ChannelInboundHandlerAdapter(),
    HeldBytes.Holder {
    private val logger = LogManager.getLogger(CallerConnection::class.java)
    private val pipelined = ArrayDeque<Any>()
    private lateinit var context: ChannelHandlerContext
    private var head: HttpRequest? = null
    private var headAt = Moment.ORIGIN
    private var body: BodyBlocks? = null
    private var reply: Reply? = null
    private var listener: CallerConnectionListener? = null
    private var discarding = false
    private var closing = false
    private var requestStartedAt: Moment? = null
    private var headBytes = 0
    private var headCost = 0L
    private var requestCost = 0L
    private var progressAt = server.timer.now()
    private var unsentBytes = 0L
    private var openedAtPoll = 0L
    private var openedAt = Moment.ORIGIN

    /** The earliest moment at which the first bytes of the request that is being read may have arrived. */
    private var arrivedAt: Moment? = null

    /** Passes on the bytes of the connection. */
    val gate = RequestGate(this, server.turns)

    /** When the last answer ended, or the connection was opened. */
    var idleSince: Moment = server.timer.now()
        private set

    /** Whether no request is in progress or arriving, and all answers were written. */
    val isIdle: Boolean
        get() = reply == null && requestStartedAt == null && gate.isEmpty && unsent() == 0L

    /** Whether all further bytes of the caller are dropped. */
    val isDiscarding: Boolean
        get() = discarding

    /** Whether the decoder may get further bytes: the last request was answered, and the caller takes its answers. */
    val takesBytes: Boolean
        get() = reply == null && !discarding && pipelined.isEmpty() && context.channel().isWritable

    /** Whether there is memory for further bytes. */
    val mayGrow: Boolean
        get() = server.held.mayGrow(this)

    override val standing: HolderStanding
        get() =
            when {
                server.timer.now() - progressAt > STALL_TIMEOUT && (reply == null || unsentBytes > 0) ->
                    HolderStanding.STALLED
                reply == null -> HolderStanding.INCOMPLETE
                else -> HolderStanding.IN_USE
            }

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        openedAtPoll = server.polls.count
        openedAt = server.polls.earliestArrival()
        server.onOpen(this)
    }

    /** Refuses a request that is arriving, which no server has seen, and closes the connection otherwise. */
    override fun giveUp(reason: String) {
        logger.warn("event=caller-given-up {} standing={} reason=\"{}\"", this, standing, reason)
        gate.discard()
        if (reply == null && requestStartedAt != null && context.channel().isWritable) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason)
        } else {
            context.close()
        }
    }

    override fun toString(): String = "caller=${context.channel().remoteAddress()}"

    /** Counts the memory that the connection holds at present. */
    fun updateHeld() {
        if (!context.channel().isOpen) return
        val arriving = if (head == null) headBytes * MEMORY_OF_HEAD_BYTE else headCost + (body?.heldBytes ?: 0)
        val queued = if (pipelined.isEmpty()) 0 else RequestGate.TURN_BYTES * MEMORY_OF_HEAD_BYTE
        server.held.update(this, gate.waitingBytes + arriving + queued + requestCost + unsent())
    }

    private fun unsent(): Long =
        context
            .channel()
            .unsafe()
            .outboundBuffer()
            ?.totalPendingWriteBytes() ?: 0

    override fun channelInactive(context: ChannelHandlerContext) {
        server.onClosed(this)
        server.held.update(this, 0)
        body?.release()
        body = null
        pipelined.forEach { ReferenceCountUtil.release(it) }
        pipelined.clear()
        val current = listener
        listener = null
        reply = null
        current?.onCallerDisconnected()
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        logger.debug("event=caller-connection-failed cause={}", cause.javaClass.simpleName)
        context.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        listener?.onWritabilityChanged(context.channel().isWritable)
        acceptPipelined()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (discarding) {
            ReferenceCountUtil.release(message)
            return
        }
        if (reply != null) {
            pipelined.addLast(message)
            return
        }
        accept(message)
    }

    /** Notes when bytes arrived, before they go to the decoder. */
    fun onRead() {
        if (arrivedAt != null) return
        // What is read in the turn after the connection was accepted may have arrived together with it.
        val isFirst = server.polls.count - openedAtPoll <= 1
        arrivedAt = if (isFirst) openedAt else server.polls.earliestArrival()
    }

    /** Starts the timeout of a request when its first bytes go to the decoder. */
    fun onBytesReceived(count: Int) {
        progressAt = server.timer.now()
        if (reply == null && requestStartedAt == null) requestStartedAt = progressAt
        if (head == null) headBytes += count
    }

    /** Closes an idle connection, and rejects a request that arrives too slowly, once a limit is exceeded. */
    fun checkTimeouts(now: Moment) {
        noteWritten(now)
        updateHeld()
        gate.updateReading()
        val since = requestStartedAt
        when {
            unsentBytes > 0 && now - progressAt > server.limits.idleTimeout -> {
                logger.info("event=answer-not-taken {} unsentBytes={}", this, unsentBytes)
                context.close()
            }
            closing -> closeIfIdle()
            reply != null -> Unit
            since != null && head == null && now - since > server.limits.headerTimeout ->
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "request headers not received in time")
            since != null && head != null && now - headAt > server.limits.idleTimeout ->
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "request body not received in time")
            since == null && unsentBytes == 0L && now - idleSince > server.limits.idleTimeout -> context.close()
        }
    }

    /** Looks whether the caller has taken bytes of its answers since the last call. */
    private fun noteWritten(now: Moment) {
        val buffer = context.channel().unsafe().outboundBuffer() ?: return
        val unsent = buffer.totalPendingWriteBytes()
        val left = if (unsent > 0) unsent - buffer.currentProgress() else 0
        if (left != unsentBytes) {
            progressAt = now
            if (reply == null && requestStartedAt == null) idleSince = now
        }
        unsentBytes = left
    }

    /** Closes the connection as soon as it has no request in progress and its caller has taken the answers. */
    fun closeWhenIdle() {
        closing = true
        closeIfIdle()
    }

    /** A connection whose further bytes are dropped closes by itself, later than its last answer is written. */
    private fun closeIfIdle() {
        if (isIdle && !discarding) context.close()
    }

    private fun accept(message: Any) {
        try {
            if (message is HttpRequest) begin(message)
            if (message is HttpContent && head != null) appendBody(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(request: HttpRequest) {
        val failure = request.decoderResult().cause()
        val fault = StrictRequestDecoder.framingFault(request)
        when {
            failure is TooLongHttpHeaderException || failure is TooLongHttpLineException ->
                reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "request line or headers too large")
            failure != null -> reject(HttpResponseStatus.BAD_REQUEST, StrictRequestDecoder.describe(failure))
            fault != null -> reject(HttpResponseStatus.BAD_REQUEST, fault)
            request.protocolVersion() !in server.versions ->
                reject(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP version other than 1.1")
            HttpUtil.getContentLength(request, 0L) > server.limits.bodyBytes -> tooLarge()
            else -> {
                head = request
                headAt = server.timer.now()
                headCost = headBytes + request.headers().size() * MEMORY_OF_FIELD
                headBytes = 0
                body = BodyBlocks(context.alloc())
                if (HttpUtil.is100ContinueExpected(request)) {
                    context.writeAndFlush(
                        DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER,
                        ),
                    )
                }
            }
        }
    }

    private fun appendBody(content: HttpContent) {
        val received = body ?: return
        val failure = content.decoderResult().cause()
        if (failure != null) {
            reject(HttpResponseStatus.BAD_REQUEST, "undecodable body: ${StrictRequestDecoder.describe(failure)}")
            return
        }
        if (received.size + content.content().readableBytes() > server.limits.bodyBytes) {
            tooLarge()
            return
        }
        received.append(content.content())
        if (content is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val request = head ?: return
        val whole = body ?: return
        head = null
        body = null
        requestStartedAt = null
        requestCost = headCost + whole.heldBytes
        val answer = Reply(keepAlive = HttpUtil.isKeepAlive(request))
        reply = answer
        val caller = CallerRequest(request, whole.toBuffer(), minOf(headAt, arrivedAt ?: headAt))
        arrivedAt = null
        context.executor().execute { handOver(caller, answer) }
    }

    /**
     * Passes [request] to the handler if the caller is still connected.
     *
     * This runs as a separate task, after everything that has arrived was read: on an overloaded node, a request and
     * the close of its connection may be read together.
     */
    private fun handOver(
        request: CallerRequest,
        answer: Reply,
    ) {
        if (reply !== answer || !context.channel().isActive) {
            server.handler.onAlreadyDisconnected(request)
            return
        }
        val newListener = server.handler.handle(request, answer)
        if (reply === answer) listener = newListener
    }

    private fun tooLarge() {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request body too large")
    }

    private fun reject(
        status: HttpResponseStatus,
        reason: String,
    ) {
        head = null
        headBytes = 0
        body?.release()
        body = null
        discardRest()
        val answer = Reply(keepAlive = false)
        reply = answer
        server.handler.onUnreadable(answer, status.code(), reason)
    }

    private fun onAnswered(keepAlive: Boolean) {
        reply = null
        listener = null
        requestCost = 0
        idleSince = server.timer.now()
        progressAt = idleSince
        updateHeld()
        if (keepAlive) acceptPipelined() else gate.resume()
    }

    /** Goes on with the requests that were decoded behind the last one, unless the caller leaves its answers unread. */
    private fun acceptPipelined() {
        while (reply == null && pipelined.isNotEmpty() && context.channel().isWritable) {
            accept(pipelined.removeFirst())
        }
        gate.resume()
    }

    /**
     * Drops all further bytes of the caller.
     *
     * The decoder holds an incomplete head, and the connection stays open for a while. With hundreds of connections
     * given up at the same time, these heads would fill the heap, though they are no longer counted.
     */
    private fun discardRest() {
        if (discarding) return
        discarding = true
        val pipeline = context.pipeline()
        if (pipeline.get(StrictRequestDecoder::class.java) != null) pipeline.remove(StrictRequestDecoder::class.java)
    }

    /**
     * Closes the connection after a delay in which the caller's remaining bytes are read and discarded.
     *
     * Closing a socket with unread bytes sends a reset, which can make the caller lose the answer.
     */
    private fun closeAfterLinger() {
        context.executor().schedule({ context.close() }, LINGER_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private inner class Reply(
        private val keepAlive: Boolean,
    ) : CallerReply {
        private var chunked = false
        private var began = false
        private var ended = false

        private val staysOpen: Boolean
            get() = keepAlive && !closing && !server.isClosing

        override val isWritable: Boolean
            get() = context.channel().isWritable

        override fun isAwaited(): Boolean {
            val channel = context.channel()
            val unsafe = channel.unsafe()
            if (server.polls.isOverdue && channel.config().isAutoRead && unsafe is NioUnsafe) unsafe.read()
            return reply === this && channel.isActive
        }

        override fun send(
            status: Int,
            headers: HttpHeaders,
            body: ByteBuf,
        ) {
            if (ended || began || reply !== this) {
                body.release()
                return
            }
            ended = true
            val keepOpen = staysOpen
            val response =
                DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    body,
                    headers,
                    DefaultHttpHeaders(),
                )
            HttpUtil.setContentLength(response, body.readableBytes().toLong())
            setConnectionHeader(response.headers(), keepOpen)
            val written = context.writeAndFlush(response)
            end(keepOpen, written)
        }

        override fun begin(
            status: Int,
            headers: HttpHeaders,
            length: Long?,
        ) {
            if (ended || began || reply !== this) return
            began = true
            chunked = length == null
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
            if (length == null) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            } else {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
            }
            setConnectionHeader(headers, staysOpen)
            context.write(response)
        }

        override fun write(content: ByteBuf) {
            if (ended || !began || reply !== this) {
                content.release()
                return
            }
            context.writeAndFlush(DefaultHttpContent(content))
        }

        override fun finish() {
            if (ended || !began || reply !== this) return
            ended = true
            val keepOpen = staysOpen && announcedKeepAlive
            end(keepOpen, context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
        }

        override fun abort() {
            if (ended || reply !== this) return
            ended = true
            reply = null
            listener = null
            context.close()
        }

        private var announcedKeepAlive = true

        private fun setConnectionHeader(
            headers: HttpHeaders,
            keepOpen: Boolean,
        ) {
            announcedKeepAlive = keepOpen
            if (!keepOpen) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun end(
            keepOpen: Boolean,
            written: ChannelFuture,
        ) {
            if (!keepOpen) {
                discardRest()
                written.addListener(
                    ChannelFutureListener { if (it.isSuccess) closeAfterLinger() else context.close() },
                )
            }
            onAnswered(keepOpen)
        }
    }

    private companion object {
        /** While a head is decoded, an empty field of four bytes takes two strings and an entry. */
        const val MEMORY_OF_HEAD_BYTE = 40L

        /** A header field in the request of the caller, and its copy in the request to a server. */
        const val MEMORY_OF_FIELD = 400L

        /** Long compared with the pauses of a sound caller within a message. */
        val STALL_TIMEOUT = 1.seconds
        const val LINGER_MILLISECONDS = 100L
    }
}
