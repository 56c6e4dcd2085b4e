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

/** Translates requests and answers between the wire format of a platform and the relay. It makes no decisions. */
public interface RelayDialect {
    /** Decodes a caller's request. */
    public fun decode(source: CallerRequest): DecodedRequest

    /** Returns the request to send to an upstream: the caller's request without hop-by-hop headers. */
    public fun upstreamRequest(
        request: RelayRequest,
        body: ByteBuf,
        parameters: SendParameters,
    ): FullHttpRequest

    /**
     * Returns the request to hand to another node, which has checked nothing of it: the caller's request without
     * hop-by-hop headers.
     *
     * @param timeLeft time until the request's deadline
     * @param resumeAfter identifier of the event after which a stream is resumed, null for a complete stream
     * @param hasAccounts whether the request is sent without the caller's access key and account
     */
    public fun forwardedRequest(
        request: RelayRequest,
        body: ByteBuf,
        timeLeft: Duration,
        resumeAfter: String?,
        hasAccounts: Boolean,
    ): FullHttpRequest

    /** Decodes the head of an upstream's answer. */
    public fun answerMetadata(head: HttpResponse): AnswerMetadata

    /** Decodes the instance's notice from the head of an answer, which may answer another request. */
    public fun notice(head: HttpResponse): InstanceNotice

    /** Returns the headers of [head] that are forwarded to the caller. */
    public fun callerHeaders(head: HttpResponse): HttpHeaders

    /**
     * Returns the headers of an answer that this node gives itself.
     *
     * @param retryAfter delay after which a retry is useful, null to send no such header
     */
    public fun ownHeaders(
        identifier: RequestIdentifier?,
        code: ResultCode,
        retryAfter: Duration?,
    ): HttpHeaders
}
