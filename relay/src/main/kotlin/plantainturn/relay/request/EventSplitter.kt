package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

/**
 * Splits a stream of server-sent events at the blank lines between them.
 *
 * Only complete events are passed on, so that a stream that breaks within an event can be resumed after the last
 * complete one.
 */
internal class EventSplitter(
    private val allocator: ByteBufAllocator,
) {
    private var partial: ByteBuf = Unpooled.EMPTY_BUFFER

    /** The last event identifier in the complete events so far, null if there was none. */
    var lastIdentifier: String? = null
        private set

    /** Whether the beginning of an incomplete event is buffered; empty lines alone are none. */
    val isWithinEvent: Boolean
        get() = partial.forEachByte { it == LINE_FEED || it == CARRIAGE_RETURN } >= 0

    /** The memory in bytes of the incomplete event. */
    val heldBytes: Long
        get() = partial.capacity().toLong()

    /** Whether the incomplete event is larger than the maximum size of an event. */
    val exceedsMaximum: Boolean
        get() = partial.readableBytes() > MAXIMUM_EVENT_BYTES

    /** Adds [content] and returns the events that are complete now, or null if there are none. */
    fun add(content: ByteBuf): ByteBuf? {
        val before = partial.readableBytes()
        val gathered =
            if (before > 0) {
                partial.writeBytes(content)
            } else {
                allocator.buffer(content.readableBytes()).writeBytes(content)
            }
        val end = endOfEvents(gathered, maxOf(0, before - MAXIMUM_BLANK_LINE_BYTES))
        if (end == 0) {
            partial = gathered
            return null
        }
        val whole = gathered.readRetainedSlice(end)
        updateLastIdentifier(whole)
        val rest = gathered.readableBytes()
        partial = if (rest > 0) allocator.buffer(rest).writeBytes(gathered) else Unpooled.EMPTY_BUFFER
        gathered.release()
        return whole
    }

    /** Returns and clears the buffered bytes of an incomplete event, or returns null. The caller must release them. */
    fun takePartial(): ByteBuf? {
        val rest = partial.takeIf { it.isReadable } ?: return null
        partial = Unpooled.EMPTY_BUFFER
        return rest
    }

    /** Releases the buffered bytes of an incomplete event. */
    fun discardPartial() {
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
    }

    /** Returns the end of the last blank line at or after [from], or 0; the bytes before were searched already. */
    private fun endOfEvents(
        buffer: ByteBuf,
        from: Int,
    ): Int {
        var index = buffer.writerIndex() - 1
        val start = buffer.readerIndex() + from
        while (index > start) {
            if (buffer.getByte(index) == LINE_FEED) {
                val before = buffer.getByte(index - 1)
                val blank =
                    before == LINE_FEED ||
                        before == CARRIAGE_RETURN &&
                        index - 2 >= start &&
                        buffer.getByte(index - 2) == LINE_FEED
                if (blank) return index + 1 - buffer.readerIndex()
            }
            index--
        }
        return 0
    }

    private fun updateLastIdentifier(events: ByteBuf) {
        val text = events.toString(Charsets.ISO_8859_1)
        var at = text.lastIndexOf(FIELD)
        while (at > 0 && text[at - 1] != '\n') at = text.lastIndexOf(FIELD, at - 1)
        if (at < 0) return
        val end = text.indexOf('\n', at)
        lastIdentifier = text.substring(at + FIELD.length, if (end < 0) text.length else end).trim()
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val FIELD = "id:"

        /** The end of a line and an empty line after it, both with CR LF. */
        const val MAXIMUM_BLANK_LINE_BYTES = 4

        /** Far above the size of an event, which holds a few tokens. */
        const val MAXIMUM_EVENT_BYTES = 262_144
    }
}
