package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Receives the answer to one request on an [UpstreamConnection].
 *
 * Exactly one of [onEnd] and [onBroken] is called, as the last call, unless the request is abandoned.
 */
internal interface AnswerReceiver {
    /** The memory in bytes that the receiver uses for the answer as long as it is not complete. */
    val heldBytes: Long

    /**
     * Returns whether [head] begins the answer to this request or to another one.
     *
     * @param earlier number of requests that were sent on the connection before this one
     */
    fun ownershipOf(
        head: HttpResponse,
        earlier: Int,
    ): AnswerOwnership

    /** Receives the status line and the headers. */
    fun onHead(head: HttpResponse)

    /** Receives the next part of the body. A receiver that keeps [content] after the call must retain it. */
    fun onContent(content: ByteBuf)

    /** Called after everything from one read of the connection was passed on. */
    fun onReadComplete() {}

    /** Called when the answer is complete. */
    fun onEnd()

    /** Called when the answer will not be completed. */
    fun onBroken(reason: String)
}
