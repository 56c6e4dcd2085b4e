package plantainturn.request.completion

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.TokenChunk
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StreamAssemblerTest {
    private val request = RequestIdentifier("own")
    private val received = mutableListOf<String>()
    private val assembler = StreamAssembler(request, ::take, maximumTokens = 1_000, reorderBufferLimit = 8)

    @Test
    fun `chunks are dropped before an attempt begins and after it has ended`() {
        assertFalse(assembler.receive(chunk(0)))
        assembler.beginAttempt(AttemptNumber.FIRST)
        assertTrue(assembler.receive(chunk(0)))
        assembler.endAttempt()
        assertFalse(assembler.receive(chunk(1)))
        assertEquals(listOf("t0"), received)
    }

    @Test
    fun `more out-of-order chunks than the limit end the attempt`() {
        assembler.beginAttempt(AttemptNumber.FIRST)
        val mayContinue = (1..9).map { assembler.receive(chunk(it)) }
        assertEquals(List(8) { true } + false, mayContinue)
    }

    @Test
    fun `a disconnected caller ends the attempt and gets nothing more`() {
        var calls = 0
        val disconnecting = StreamAssembler(request, { _, _ -> ++calls < 2 }, maximumTokens = 10)
        disconnecting.beginAttempt(AttemptNumber.FIRST)
        assertTrue(disconnecting.receive(chunk(0)))
        assertFalse(disconnecting.receive(chunk(1)))
        assertFalse(disconnecting.receive(chunk(2)))
        assertTrue(disconnecting.callerDisconnected)
        assertEquals(2, calls)
    }

    @Property(seed = "41", tries = 3_000)
    fun `an answer reported as complete is complete, in order and belongs to the request`(
        @ForAll seed: Long,
    ) {
        val streams = FaultyTokenStreams(Random(seed), request)
        val texts = mutableListOf<String>()
        val assembler =
            StreamAssembler(request, { position, text -> position == texts.size && texts.add(text) }, 1_000)
        var complete = false
        var attempt = AttemptNumber.FIRST
        while (!complete && attempt.value <= 6) {
            assembler.beginAttempt(attempt)
            val end = streams.run(attempt, assembler.deliveredTokens, assembler)
            complete = end is GenerationEnd.Finished && assembler.isComplete(end)
            assembler.endAttempt()
            attempt = attempt.next()
        }
        assertEquals(streams.answer.take(texts.size), texts)
        assertFalse(assembler.callerDisconnected)
        if (complete) assertEquals(streams.claimedTotal, texts.size)
    }

    private fun take(
        position: Int,
        text: String,
    ): Boolean {
        assertEquals(received.size, position)
        received += text
        return true
    }

    private fun chunk(position: Int) = TokenChunk(request, AttemptNumber.FIRST, position, "t$position")
}
