package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.CorruptedFrameException
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil
import plantainturn.connection.http.SurplusBytes

/**
 * Decodes answers and limits the bytes that a server sends beyond the awaited answers.
 *
 * A faulty server may send bytes that belong to no request, such as a part of an earlier answer. Bytes that arrive
 * while no answer is awaited are decoded and then reported as an exception, since the next answer could be taken for
 * their rest. If they arrive just before the next answer, both heads are decoded as one, which [isJoined] recognizes.
 */
internal class StrictResponseDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES).setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
    ) {
    /** The method of the request whose answer is awaited. */
    var method: HttpMethod = HttpMethod.GET

    /** Whether a request was sent whose answer is not complete. */
    var isAwaited: Boolean = false

    /** Counts the received bytes that are not part of an awaited body. */
    val surplus = SurplusBytes()

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        val unawaited = !isAwaited
        if (message is ByteBuf) surplus.onReceived(message.readableBytes())
        if (surplus.isExceeded) {
            ReferenceCountUtil.release(message)
            context.fireExceptionCaught(TooLongFrameException("too many bytes that are not part of the answer"))
        } else {
            super.channelRead(context, message)
            if (unawaited) context.fireExceptionCaught(CorruptedFrameException("bytes without a request in progress"))
        }
    }

    /** Returns whether received bytes are not decoded yet. At the end of an answer, these are all that follow it. */
    fun hasTrailingBytes(): Boolean = actualReadableBytes() > 0

    /** Returns whether [head] contains the status line of another answer after its beginning. */
    fun isJoined(head: HttpResponse): Boolean =
        head.protocolVersion().majorVersion() != MAJOR_VERSION ||
            head.protocolVersion().protocolName() != PROTOCOL ||
            containsStatusLine(head.status().reasonPhrase()) ||
            head.headers().any { (name, value) -> containsStatusLine(name) || containsStatusLine(value) }

    /** Netty takes any number for a status, with a sign or leading zeros too. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(STATUS.matches(initialLine[1])) { "the status is not a number from 100 to 599" }
        return super.createMessage(initialLine)
    }

    private fun containsStatusLine(text: String): Boolean = text.contains(PROTOCOL) && STATUS_LINE.containsMatchIn(text)

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Far above the headers of any upstream; limits the memory that a faulty one can occupy on this node. */
        const val MAXIMUM_HEADER_BYTES = 32_768
        const val MAXIMUM_CHUNK_BYTES = 65_536
        const val PROTOCOL = "HTTP"
        const val MAJOR_VERSION = 1
        val STATUS = Regex("[1-5][0-9]{2}")
        val STATUS_LINE = Regex("HTTP/\\d\\.\\d +\\d{3}")
    }
}
