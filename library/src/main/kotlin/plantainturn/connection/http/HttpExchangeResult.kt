package plantainturn.connection.http

import okhttp3.Headers

/** What is known after one HTTP exchange. */
internal sealed interface HttpExchangeResult {
    class Answered(
        val status: Int,
        val headers: Headers,
        val body: ByteArray,
    ) : HttpExchangeResult {
        fun text(): String = body.decodeToString()
    }

    /** No byte of the request was sent. */
    data class NotSent(
        val reason: String,
    ) : HttpExchangeResult

    /** The request may have reached the server and there is no whole answer. */
    data class Unknown(
        val reason: String,
    ) : HttpExchangeResult
}
