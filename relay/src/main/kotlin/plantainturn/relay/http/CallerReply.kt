package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Answers one request of a caller. Calls come from the event loop; after [finish] or [abort] they do nothing. */
public interface CallerReply {
    /** Whether the caller's connection takes more now. */
    public val isWritable: Boolean

    /**
     * Sends a whole answer.
     *
     * @param body released once it is written
     */
    public fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteBuf,
    )

    /**
     * Begins an answer whose length is not known.
     *
     * @param length the number of bytes of the body if it is known
     */
    public fun begin(
        status: Int,
        headers: HttpHeaders,
        length: Long?,
    )

    /** Sends more of an answer that was begun. Takes over [content]. */
    public fun write(content: ByteBuf)

    /** Ends an answer that was begun. */
    public fun finish()

    /** Closes the connection, so that the answer does not look complete. */
    public fun abort()
}
