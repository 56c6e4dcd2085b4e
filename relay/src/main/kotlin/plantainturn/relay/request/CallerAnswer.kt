package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.PooledByteBufAllocator
import io.netty.handler.codec.http.HttpHeaders
import plantainturn.relay.http.CallerReply

/**
 * The answer to one request, as its caller receives it. It may be composed of the answers of several instances.
 *
 * Decides what may follow what was sent so far ([continuation]), and whether an answer that an instance ended is
 * complete ([incompleteness]). One that can't be completed is aborted, so that the caller sees that it is incomplete.
 *
 * @param isEventStream whether the answer is a stream of events, of which only complete ones are sent
 */
internal class CallerAnswer(
    reply: CallerReply,
    private val isEventStream: Boolean,
) {
    private val reply = HoldableReply(reply)
    private val splitter = EventSplitter(PooledByteBufAllocator.DEFAULT)
    private var kept: BufferedAnswer? = null
    private var ended = false

    /** Whether a part of the answer was sent. */
    var hasBegun: Boolean = false
        private set

    /** What may be sent next. */
    val continuation: AnswerContinuation
        get() =
            when {
                ended -> AnswerContinuation.NOTHING
                !hasBegun -> AnswerContinuation.ANY_ANSWER
                isEventStream && splitter.lastIdentifier != null -> AnswerContinuation.REST_OF_STREAM
                else -> AnswerContinuation.NOTHING
            }

    /** The identifier of the last event that was sent, null if there was none. */
    val lastEvent: String?
        get() = splitter.lastIdentifier

    /** Whether an incomplete event is larger than the maximum size of an event. */
    val exceedsMaximum: Boolean
        get() = splitter.exceedsMaximum

    /** The memory in bytes of an incomplete event and of what is held back. */
    val heldBytes: Long
        get() = splitter.heldBytes + reply.heldBytes

    /** Whether the connection's write buffer has room. */
    val isWritable: Boolean
        get() = reply.isWritable

    /** Holds the answer back, which may go on meanwhile, until [passOn]. */
    fun hold(): Unit = reply.hold()

    /** Sends what was held back. */
    fun passOn(): Unit = reply.passOn()

    /** Returns whether the caller still waits for the answer. */
    fun isAwaited(): Boolean = reply.isAwaited()

    /** Returns the part of [content] that can be sent now, or null if there is none. The caller must release it. */
    fun takeComplete(content: ByteBuf): ByteBuf? = if (isEventStream) splitter.add(content) else content.retainedSlice()

    /**
     * Begins an answer that is sent in parts.
     *
     * @param length the number of bytes of the body, null if it is unknown; not stated for a stream, which may be
     *   continued by another instance
     */
    fun begin(
        status: Int,
        headers: HttpHeaders,
        length: Long?,
    ) {
        hasBegun = true
        reply.begin(status, headers, length.takeUnless { isEventStream })
    }

    /** Sends [content] of an answer that was begun. Takes ownership of it. */
    fun write(content: ByteBuf): Unit = reply.write(content)

    /**
     * Returns why the answer is not complete although the instance ended it, or null if it is.
     *
     * @param delimited whether the end was marked by the answer's length or its last chunk, and not only by the end of
     *   the connection, as after a crash
     */
    fun incompleteness(delimited: Boolean): String? =
        when {
            !isEventStream -> null
            splitter.isWithinEvent -> "stream ended within an event"
            !delimited && !hasBegun -> "connection ended before the first event"
            else -> null
        }

    /** Completes an answer that was begun. */
    fun finish() {
        ended = true
        splitter.takePartial()?.let(reply::write)
        reply.finish()
    }

    /** Sends a complete answer. */
    fun send(answer: BufferedAnswer) {
        check(continuation == AnswerContinuation.ANY_ANSWER) { "another answer was begun" }
        ended = true
        reply.send(answer.status, answer.headers, answer.body)
    }

    /** Keeps an error answer, to be sent if no other instance gives a better one. */
    fun keep(answer: BufferedAnswer) {
        kept?.body?.release()
        kept = answer
    }

    /** Returns and forgets the answer that was kept, null if there is none or another answer was begun. */
    fun takeKept(): BufferedAnswer? =
        kept?.takeIf { continuation == AnswerContinuation.ANY_ANSWER }?.also { kept = null }

    /** Drops an incomplete event: what follows it comes from another instance. */
    fun discardPartial(): Unit = splitter.discardPartial()

    /** Closes the connection, so that the caller sees that the answer is incomplete. */
    fun abort() {
        ended = true
        reply.abort()
    }

    /** Releases what was not sent. */
    fun release() {
        kept?.body?.release()
        kept = null
        splitter.discardPartial()
    }
}
