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

/** Decodes answers, bounds what comes besides, and tells whether bytes are left over that belong to no answer yet. */
internal class StrictResponseDecoder :
    HttpResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES).setMaxChunkSize(MAXIMUM_CHUNK_BYTES),
    ) {
    /** The method of the request whose answer is awaited. */
    var method: HttpMethod = HttpMethod.GET

    /** What came on the connection beside the awaited bodies. */
    val surplus = SurplusBytes()

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) surplus.onReceived(message.readableBytes())
        if (surplus.isExceeded) {
            ReferenceCountUtil.release(message)
            context.fireExceptionCaught(TooLongFrameException("too many bytes that are no part of the answer"))
        } else {
            super.channelRead(context, message)
        }
    }

    /** Whether there are bytes beyond the last complete answer. */
    fun hasTrailingBytes(): Boolean = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** Far above the headers of any upstream; bounds what a faulty one can make this node keep. */
        const val MAXIMUM_HEADER_BYTES = 32_768
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
