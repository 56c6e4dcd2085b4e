package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import plantainturn.relay.http.CallerReply

/**
 * A reply whose parts can be held back for a moment, without its writer having to wait.
 *
 * While it is held it is not writable, so that what produces the answer pauses.
 */
internal class HoldableReply(
    private val reply: CallerReply,
) : CallerReply by reply {
    private var held: ArrayDeque<() -> Unit>? = null

    /** The memory in bytes of the parts that are held back. */
    var heldBytes: Long = 0
        private set

    override val isWritable: Boolean
        get() = held == null && reply.isWritable

    /** Holds back all parts of the answer from now on. */
    fun hold() {
        held = held ?: ArrayDeque()
    }

    /** Passes on what was held back, and everything after it at once. */
    fun passOn() {
        val parts = held ?: return
        held = null
        heldBytes = 0
        parts.forEach { it() }
    }

    override fun begin(
        status: Int,
        headers: HttpHeaders,
        length: Long?,
    ): Unit = pass { reply.begin(status, headers, length) }

    override fun write(content: ByteBuf) {
        if (held != null) heldBytes += content.readableBytes()
        pass { reply.write(content) }
    }

    override fun finish(): Unit = pass { reply.finish() }

    override fun abort(): Unit = pass { reply.abort() }

    private fun pass(part: () -> Unit) {
        held?.addLast(part) ?: part()
    }
}
