package plantainturn.connection.service

import kotlinx.collections.immutable.toPersistentList
import okhttp3.Headers
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import plantainturn.connection.http.HttpExchangeResult
import plantainturn.connection.http.HttpExchanger

/**
 * Calls an upstream that runs a plain service over HTTP.
 *
 * A call is sent at most once. Its request identifier, attempt number and idempotency key are sent in
 * [REQUEST_HEADER], [ATTEMPT_HEADER] and `Idempotency-Key`.
 *
 * @param client the HTTP client that the process shares, usually created by [plantainturn.connection.http.HttpClients]
 * @param address base URL of the upstream
 */
public class HttpPlainService(
    client: OkHttpClient,
    address: String,
) : PlainService {
    private val exchanger = HttpExchanger(client, address)
    private val baseUrl = address.trimEnd('/')

    override fun call(call: ServiceCall): ServiceResult {
        val request =
            try {
                requestOf(call)
            } catch (exception: IllegalArgumentException) {
                return ServiceResult.Unreachable("the call can't be sent: ${exception.message}")
            }
        return when (val result = exchanger.exchange(request, call.timeout)) {
            is HttpExchangeResult.Answered -> resultOf(result)
            is HttpExchangeResult.NotSent -> ServiceResult.Unreachable(result.reason)
            is HttpExchangeResult.Unknown -> ServiceResult.Unknown(result.reason)
        }
    }

    private fun requestOf(call: ServiceCall): Request.Builder {
        val url = requireNotNull((baseUrl + call.path).toHttpUrlOrNull()) { "the path is not part of a URL" }
        val headers = Headers.Builder()
        call.headers.filterNot { it.name.lowercase() in MANAGED_HEADERS }.forEach { headers.add(it.name, it.value) }
        headers[REQUEST_HEADER] = call.request.value
        headers[ATTEMPT_HEADER] = call.attempt.toString()
        call.idempotencyKey?.let { headers[IDEMPOTENCY_KEY_HEADER] = it }
        return Request
            .Builder()
            .url(url)
            .headers(headers.build())
            .method(call.method, bodyOf(call))
    }

    private fun bodyOf(call: ServiceCall): RequestBody? {
        val hasBody = call.body.isNotEmpty() || call.method in METHODS_WITH_BODY
        return if (hasBody) call.body.toRequestBody() else null
    }

    private fun resultOf(answer: HttpExchangeResult.Answered): ServiceResult.Answered {
        val fields = answer.headers.map { (name, value) -> HttpField(name, value) }
        return ServiceResult.Answered(answer.status, fields.toPersistentList(), answer.body)
    }

    public companion object {
        /** Header that carries the request identifier. */
        public const val REQUEST_HEADER: String = "Plantainturn-Request"

        /** Header that carries the attempt number. */
        public const val ATTEMPT_HEADER: String = "Plantainturn-Attempt"

        private const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH", "PROPPATCH", "REPORT")
        private val MANAGED_HEADERS =
            setOf("host", "content-length", "transfer-encoding", "connection", "accept-encoding")
    }
}
