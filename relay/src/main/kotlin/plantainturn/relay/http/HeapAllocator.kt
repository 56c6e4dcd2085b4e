package plantainturn.relay.http

import io.netty.buffer.AbstractByteBufAllocator
import io.netty.buffer.ByteBuf
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.buffer.UnpooledHeapByteBuf

/**
 * Allocates the buffers of connections on the heap, also those for reading and writing sockets.
 *
 * Netty would otherwise read into pooled direct buffers, and copy whole bodies into them to send them. When direct
 * memory runs out, each allocation stops the event loop for half a second, and pools keep whole chunks for a single
 * buffer. Here the system's calls go through the small direct buffers that the JVM keeps for each thread.
 */
internal object HeapAllocator : AbstractByteBufAllocator(false) {
    override fun ioBuffer(): ByteBuf = heapBuffer()

    override fun ioBuffer(initialCapacity: Int): ByteBuf = heapBuffer(initialCapacity)

    override fun ioBuffer(
        initialCapacity: Int,
        maxCapacity: Int,
    ): ByteBuf = heapBuffer(initialCapacity, maxCapacity)

    override fun isDirectBufferPooled(): Boolean = false

    override fun newHeapBuffer(
        initialCapacity: Int,
        maxCapacity: Int,
    ): ByteBuf = UnpooledHeapByteBuf(this, initialCapacity, maxCapacity)

    override fun newDirectBuffer(
        initialCapacity: Int,
        maxCapacity: Int,
    ): ByteBuf = UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maxCapacity)
}
