package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals

class EventSplitterTest {
    private val allocated = mutableListOf<ByteBuf>()
    private val allocator =
        object : ByteBufAllocator by UnpooledByteBufAllocator.DEFAULT {
            override fun buffer(initialCapacity: Int): ByteBuf =
                UnpooledByteBufAllocator.DEFAULT.buffer(initialCapacity).also { allocated += it }
        }

    @Test
    fun `a stream that has ended leaves no buffer unreleased`() {
        val splitter = EventSplitter(allocator)
        for (bytes in listOf("id: 1\ndata: a\n\n", "id: 2\nda", "ta: b\n\n", "id: 3\ndata: c\n\nid: 4\n")) {
            splitter.add(Unpooled.copiedBuffer(bytes, Charsets.US_ASCII))?.release()
        }
        splitter.discardPartial()
        assertEquals(List(allocated.size) { 0 }, allocated.map { it.refCnt() })
    }
}
