package plantainturn.relay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import plantainturn.version.route.CallerLimits

/**
 * Decodes callers' requests and rejects ambiguous framing, which allows request smuggling.
 *
 * A request with both `Content-Length` and chunks, or with a transfer coding other than `chunked`, is rejected because
 * another HTTP implementation might see a second request in its body.
 */
internal class StrictRequestDecoder(
    limits: CallerLimits,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(limits.headerBytes)
            .setMaxHeaderSize(limits.headerBytes)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
            .setAllowDuplicateContentLengths(false),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw AmbiguousFramingException("both Content-Length and chunked coding")

    /** [message] is this decoder's own text, which quotes nothing of the request. */
    private class AmbiguousFramingException(
        override val message: String,
    ) : IllegalArgumentException(message)

    internal companion object {
        private const val MAXIMUM_CHUNK_BYTES = 65_536

        /** Returns why a request was not decoded. Netty's messages quote the head, which may contain an access key. */
        fun describe(failure: Throwable): String =
            if (failure is AmbiguousFramingException) failure.message else failure.javaClass.simpleName

        /** Returns a description of the fault in the framing of [message], or null if there is none. */
        fun framingFault(message: HttpMessage): String? {
            val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
            return when {
                codings.isEmpty() -> null
                codings.size > 1 -> "more than one Transfer-Encoding header"
                !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                    codings[0].trim(),
                ) -> "transfer coding other than chunked"
                message.headers().contains(HttpHeaderNames.CONTENT_LENGTH) -> "both Content-Length and chunked coding"
                else -> null
            }
        }
    }
}
