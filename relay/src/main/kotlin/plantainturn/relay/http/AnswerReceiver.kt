package plantainturn.relay.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Receives the answer to one request on an [UpstreamConnection]. Exactly one of [onEnd] and [onBroken] ends it. */
internal interface AnswerReceiver {
    /**
     * Returns whether [head] begins the answer to this request.
     *
     * @param earlier how many requests the connection had carried before this one
     */
    fun ownershipOf(
        head: HttpResponse,
        earlier: Int,
    ): AnswerOwnership

    /** The answer begins. */
    fun onHead(head: HttpResponse)

    /** More of the body; the receiver must not keep [content] without retaining it. */
    fun onContent(content: ByteBuf)

    /** All that has arrived together was given. */
    fun onReadComplete() {}

    /** The answer is complete. */
    fun onEnd()

    /** The answer will not be complete. */
    fun onBroken(reason: String)
}
