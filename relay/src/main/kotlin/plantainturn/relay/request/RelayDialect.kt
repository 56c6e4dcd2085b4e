package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import plantainturn.connection.roster.InstanceNotice
import plantainturn.process.ResultCode
import plantainturn.relay.http.CallerRequest
import plantainturn.request.RequestIdentifier
import kotlin.time.Duration

/** Translates requests and answers between the wire of a platform and the product. It decides nothing. */
public interface RelayDialect {
    /** Decodes a caller's request. */
    public fun decode(source: CallerRequest): DecodedRequest

    /** Returns the request to send to an upstream: the caller's, without what concerns one connection. */
    public fun upstreamRequest(
        request: RelayRequest,
        body: ByteBuf,
        parameters: SendParameters,
    ): FullHttpRequest

    /** Decodes the head of an upstream's answer. */
    public fun answerMetadata(head: HttpResponse): AnswerMetadata

    /** Decodes what an instance says of itself beside an answer, which may be to another request. */
    public fun notice(head: HttpResponse): InstanceNotice

    /** Returns the headers of [head] that go on to the caller. */
    public fun callerHeaders(head: HttpResponse): HttpHeaders

    /**
     * Returns the headers of an answer of this node's own.
     *
     * @param comeBackAfter when it is worth coming back, null if it is not told
     */
    public fun ownHeaders(
        identifier: RequestIdentifier?,
        code: ResultCode,
        comeBackAfter: Duration?,
    ): HttpHeaders
}
