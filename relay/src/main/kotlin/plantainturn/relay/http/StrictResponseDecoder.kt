package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil
import plantainturn.connection.http.SurplusBytes

/**
 * Decodes answers and limits the bytes that a server sends beyond the awaited answers.
 *
 * Also tells whether bytes were received after the last complete answer.
 */
internal class StrictResponseDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES).setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
    ) {
    /** The method of the request whose answer is awaited. */
    var method: HttpMethod = HttpMethod.GET

    /** Counts the received bytes that are not part of an awaited body. */
    val surplus = SurplusBytes()

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) surplus.onReceived(message.readableBytes())
        if (surplus.isExceeded) {
            ReferenceCountUtil.release(message)
            context.fireExceptionCaught(TooLongFrameException("too many bytes that are not part of the answer"))
        } else {
            super.channelRead(context, message)
        }
    }

    /** Returns whether bytes were received after the last complete answer. */
    fun hasTrailingBytes(): Boolean = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Far above the headers of any upstream; limits the memory that a faulty one can occupy on this node. */
        const val MAXIMUM_HEADER_BYTES = 32_768
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
