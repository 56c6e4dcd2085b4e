package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** The body of an answer that is received completely, and so checked, before it is forwarded. */
internal class ShortAnswer {
    private var bytes: ByteBuf = Unpooled.EMPTY_BUFFER

    /** The memory in bytes that it takes. */
    val capacity: Int
        get() = bytes.capacity()

    /** Adds [content], or returns why there is no room for it. */
    fun add(content: ByteBuf): String? {
        if (bytes.readableBytes() + content.readableBytes() > MAXIMUM_BYTES) {
            return "answer exceeds $MAXIMUM_BYTES bytes and has no Content-Length"
        }
        if (!bytes.isReadable) bytes = Unpooled.buffer(content.readableBytes())
        bytes.writeBytes(content)
        return null
    }

    /** Returns the bytes so far. The caller must release them. */
    fun retained(): ByteBuf = bytes.retainedSlice()

    /** Releases the bytes. */
    fun release() {
        bytes.release()
    }

    companion object {
        /** Longer answers are forwarded as they arrive. */
        const val MAXIMUM_BYTES = 262_144
    }
}
