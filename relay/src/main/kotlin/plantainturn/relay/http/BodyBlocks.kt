package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator

/**
 * Collects a body in blocks of its own.
 *
 * The decoder's pieces are copied, since a retained piece of one byte would keep the whole buffer that it was read
 * into.
 */
internal class BodyBlocks(
    private val allocator: ByteBufAllocator,
) {
    private val blocks = ArrayList<ByteBuf>()

    /** The number of bytes of the body so far. */
    var size: Int = 0
        private set

    /** The memory in bytes of all blocks. */
    var heldBytes: Long = 0L
        private set

    /** Appends the readable bytes of [content]. */
    fun append(content: ByteBuf) {
        while (content.isReadable) {
            val block = blocks.lastOrNull()?.takeIf { it.isWritable } ?: addBlock(content.readableBytes())
            val count = minOf(block.writableBytes(), content.readableBytes())
            block.writeBytes(content, count)
            size += count
        }
    }

    /** Returns the whole body. The caller must release it. */
    fun toBuffer(): ByteBuf {
        val whole = allocator.compositeBuffer(maxOf(blocks.size, MINIMUM_COMPONENTS))
        blocks.forEach { whole.addComponent(true, it) }
        blocks.clear()
        return whole
    }

    /** Releases all blocks. */
    fun release() {
        blocks.forEach { it.release() }
        blocks.clear()
    }

    /** Blocks grow with the body, so that a short body holds little. */
    private fun addBlock(wanted: Int): ByteBuf {
        val capacity = maxOf(size, wanted).coerceIn(MINIMUM_BLOCK, MAXIMUM_BLOCK)
        val block = allocator.heapBuffer(capacity, capacity)
        blocks += block
        heldBytes += capacity
        return block
    }

    private companion object {
        const val MINIMUM_BLOCK = 512
        const val MAXIMUM_BLOCK = 65_536
        const val MINIMUM_COMPONENTS = 2
    }
}
