package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Passes the bytes of one connection to the decoder in bounded parts, and only while [connection] takes requests.
 *
 * Bytes that wait are cheaper than decoded messages: a header field of three bytes takes 50 times its size once it is
 * decoded. Reading stops while [MAXIMUM_WAITING] bytes wait, or while memory is scarce.
 */
internal class RequestGate(
    private val connection: CallerConnection,
    private val turns: TurnQueue,
) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<ByteBuf>()
    private lateinit var context: ChannelHandlerContext

    /** The memory in bytes of the buffers that wait. */
    var waitingBytes: Long = 0L
        private set

    /** Whether no bytes wait. */
    val isEmpty: Boolean
        get() = waiting.isEmpty()

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        val bytes = message as ByteBuf
        if (!bytes.isReadable || connection.isDiscarding) {
            bytes.release()
            return
        }
        connection.onRead()
        val wasEmpty = waiting.isEmpty()
        waiting.addLast(bytes)
        waitingBytes += costOf(bytes)
        if (wasEmpty) takeTurn()
        updateReading()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        discard()
        context.fireChannelInactive()
    }

    /** Passes on a part of the waiting bytes if the connection takes requests. */
    fun takeTurn() {
        if (!connection.takesBytes) {
            if (connection.isDiscarding) discard()
            return
        }
        val first = waiting.firstOrNull() ?: return
        connection.onBytesReceived(minOf(first.readableBytes(), TURN_BYTES))
        if (first.readableBytes() > TURN_BYTES) {
            context.fireChannelRead(first.readRetainedSlice(TURN_BYTES))
        } else {
            waiting.removeFirst()
            waitingBytes -= costOf(first)
            context.fireChannelRead(first)
        }
        connection.updateHeld()
        resume()
    }

    /** Asks for a turn if bytes wait, and reads from the socket again if there is room. */
    fun resume() {
        if (connection.isDiscarding) discard()
        if (waiting.isNotEmpty() && connection.takesBytes) turns.add(this)
        updateReading()
    }

    /** Releases the bytes that wait. */
    fun discard() {
        waiting.forEach { it.release() }
        waiting.clear()
        waitingBytes = 0
    }

    /** Reads from the socket, or stops reading, as the bytes that wait and the memory of all connections allow. */
    fun updateReading() {
        val reads = connection.isDiscarding || waitingBytes < MAXIMUM_WAITING && connection.mayGrow
        val config = context.channel().config()
        if (config.isAutoRead != reads) config.isAutoRead = reads
    }

    private fun costOf(bytes: ByteBuf): Long = bytes.capacity() + BUFFER_OBJECTS

    companion object {
        /** Holds a few hundred chunks of one byte, or a thousand empty header fields. */
        const val TURN_BYTES = 4_096

        /** A whole head at the operators' limit. */
        private const val MAXIMUM_WAITING = 32_768L

        /** The objects of a buffer. */
        private const val BUFFER_OBJECTS = 128L
    }
}
