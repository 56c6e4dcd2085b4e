package plantainturn.relay.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import plantainturn.version.route.CallerLimits

/**
 * Decodes callers' requests and refuses what two readers could take for different requests.
 *
 * A request with both a length and chunks, or with a transfer coding other than `chunked`, is a failure here, because
 * another reader might see a second request in its body.
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
        throw IllegalArgumentException("both a length and chunks")

    internal companion object {
        private const val MAXIMUM_CHUNK_BYTES = 65_536

        /** Returns what is wrong with the framing of [message], or null. */
        fun framingFault(message: HttpMessage): String? {
            val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
            return when {
                codings.isEmpty() -> null
                codings.size > 1 -> "several transfer codings"
                !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                    codings[0].trim(),
                ) -> "a transfer coding besides chunked"
                message.headers().contains(HttpHeaderNames.CONTENT_LENGTH) -> "both a length and chunks"
                else -> null
            }
        }
    }
}
