package plantainturn.request.completion

import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.TokenChunk
import plantainturn.connection.engine.TokenReceiver
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Assembles the chunks of a request's attempts into one answer.
 *
 * A chunk is accepted only if it names this request and the attempt in progress. Chunks ahead of the next position are
 * buffered until the ones before them arrive; duplicates and chunks of other requests or attempts are dropped. The
 * answer receiver gets each position once and in order, across all attempts. Chunks may arrive on any thread, also
 * after their attempt has ended.
 *
 * @param maximumTokens the maximum number of tokens in the whole answer; later positions are dropped
 * @param reorderBufferLimit the maximum number of buffered chunks; exceeding it ends the attempt
 */
public class StreamAssembler(
    private val request: RequestIdentifier,
    private val receiver: AnswerReceiver,
    private val maximumTokens: Int,
    private val reorderBufferLimit: Int = DEFAULT_REORDER_BUFFER_LIMIT,
) : TokenReceiver {
    private val lock = ReentrantLock()
    private val answer = StringBuilder()
    private val reorderBuffer = HashMap<Int, String>()
    private var attempt: AttemptNumber? = null
    private var delivered = 0
    private var disconnected = false

    /** The number of tokens delivered to the answer receiver. */
    public val deliveredTokens: Int get() = lock.withLock { delivered }

    /** The text delivered to the answer receiver. */
    public val deliveredText: String get() = lock.withLock { answer.toString() }

    /** Whether the answer receiver has reported that the caller disconnected. */
    public val callerDisconnected: Boolean get() = lock.withLock { disconnected }

    /** Whether the answer has reached the maximum number of tokens, so that no tokens can be missing. */
    public val isFull: Boolean get() = lock.withLock { delivered >= maximumTokens }

    /** Accepts only chunks of [attempt] from now on. */
    public fun beginAttempt(attempt: AttemptNumber): Unit =
        lock.withLock {
            reorderBuffer.clear()
            this.attempt = attempt
        }

    /** Drops all chunks until another attempt begins. */
    public fun endAttempt(): Unit =
        lock.withLock {
            reorderBuffer.clear()
            attempt = null
        }

    /** Returns whether the answer receiver got as many tokens as the engine reports in [end]. */
    public fun isComplete(end: GenerationEnd.Finished): Boolean = lock.withLock { delivered == end.totalTokens }

    override fun receive(chunk: TokenChunk): Boolean =
        lock.withLock {
            if (isExpected(chunk)) accept(chunk)
            !disconnected && attempt != null && reorderBuffer.size <= reorderBufferLimit
        }

    private fun isExpected(chunk: TokenChunk): Boolean =
        !disconnected &&
            chunk.request == request &&
            chunk.attempt == attempt &&
            chunk.position in delivered until maximumTokens

    private fun accept(chunk: TokenChunk) {
        reorderBuffer.putIfAbsent(chunk.position, chunk.text)
        while (!disconnected) {
            val text = reorderBuffer.remove(delivered) ?: return
            deliver(text)
        }
    }

    private fun deliver(text: String) {
        if (!receiver.receive(delivered, text)) {
            disconnected = true
            return
        }
        answer.append(text)
        delivered += 1
    }

    private companion object {
        const val DEFAULT_REORDER_BUFFER_LIMIT = 64
    }
}
