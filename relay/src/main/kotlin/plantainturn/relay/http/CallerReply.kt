package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/**
 * Writes the answer to one request of a caller.
 *
 * All calls must come from the event loop. Calls after [send], [finish] or [abort] have no effect.
 */
public interface CallerReply {
    /** Whether the connection's write buffer has room. */
    public val isWritable: Boolean

    /**
     * Returns whether the caller still waits for the answer, as far as anything has arrived from it.
     *
     * On an overloaded node, this looks at the connection once more: its close may have arrived without having been
     * noticed.
     */
    public fun isAwaited(): Boolean

    /**
     * Sends a complete answer.
     *
     * @param body released after it was written
     */
    public fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteBuf,
    )

    /**
     * Begins an answer whose body is sent with [write].
     *
     * @param length the number of bytes of the body, or null if it is unknown, for a chunked answer
     */
    public fun begin(
        status: Int,
        headers: HttpHeaders,
        length: Long?,
    )

    /** Sends the next part of the body. Takes ownership of [content]. */
    public fun write(content: ByteBuf)

    /** Completes an answer that was begun. */
    public fun finish()

    /** Closes the connection, so that the caller sees that the answer is incomplete. */
    public fun abort()
}
