package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

/**
 * Splits a stream of server-sent events at the blank lines between them.
 *
 * Only whole events are given on, so that a stream that breaks inside one can be continued after the last whole one.
 */
internal class EventSplitter(
    private val allocator: ByteBufAllocator,
) {
    private var partial: ByteBuf = Unpooled.EMPTY_BUFFER

    /** The identifier of the last whole event, null before the first. */
    var lastIdentifier: String? = null
        private set

    /** Bytes of an event that is not whole yet. */
    val hasPartial: Boolean
        get() = partial.isReadable

    /** Whether there is more of one event than an event may have. */
    val exceedsMaximum: Boolean
        get() = partial.readableBytes() > MAXIMUM_EVENT_BYTES

    /** Takes in [content] and returns the whole events that are there now, or null if there are none. */
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

    /** Returns what is left of an event that never became whole, or null. */
    fun takePartial(): ByteBuf? {
        val rest = partial.takeIf { it.isReadable } ?: return null
        partial = Unpooled.EMPTY_BUFFER
        return rest
    }

    /** Forgets what is left of an event that never became whole. */
    fun discardPartial() {
        partial.release()
        partial = Unpooled.EMPTY_BUFFER
    }

    /** Looks for the last blank line that ends at [from] or later; what is before was looked at already. */
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

        /** The end of a line and an empty line after it. */
        const val MAXIMUM_BLANK_LINE_BYTES = 4

        /** Far above the few tokens that an event holds. */
        const val MAXIMUM_EVENT_BYTES = 262_144
    }
}
