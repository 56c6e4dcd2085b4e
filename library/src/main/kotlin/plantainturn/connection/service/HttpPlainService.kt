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
 * One upstream that runs a plain service over HTTP.
 *
 * A call is sent at most once. Its request identifier, attempt and idempotency key travel in [REQUEST_HEADER],
 * [ATTEMPT_HEADER] and `Idempotency-Key`.
 *
 * @param client the process's client, best made by [plantainturn.connection.http.HttpClients]
 * @param address base URL of the upstream
 */
public class HttpPlainService(
    client: OkHttpClient,
    address: String,
) : PlainService {
    private val exchanger = HttpExchanger(client, address)
    private val root = address.trimEnd('/')

    override fun call(call: ServiceCall): ServiceResult {
        val request =
            try {
                requestOf(call)
            } catch (exception: IllegalArgumentException) {
                return ServiceResult.Unreachable("the call can't be sent: ${exception.message}")
            }
        return when (val result = exchanger.exchange(request, call.timeout)) {
            is HttpExchangeResult.Answered -> answered(result)
            is HttpExchangeResult.NotSent -> ServiceResult.Unreachable(result.reason)
            is HttpExchangeResult.Unknown -> ServiceResult.Unknown(result.reason)
        }
    }

    private fun requestOf(call: ServiceCall): Request.Builder {
        val url = requireNotNull((root + call.path).toHttpUrlOrNull()) { "the path is not part of a URL" }
        val headers = Headers.Builder()
        call.headers.filterNot { it.name.lowercase() in OWN_FIELDS }.forEach { headers.add(it.name, it.value) }
        headers[REQUEST_HEADER] = call.request.value
        headers[ATTEMPT_HEADER] = call.attempt.toString()
        call.idempotencyKey?.let { headers[KEY_HEADER] = it }
        return Request
            .Builder()
            .url(url)
            .headers(headers.build())
            .method(call.method, bodyOf(call))
    }

    private fun bodyOf(call: ServiceCall): RequestBody? {
        val wanted = call.body.isNotEmpty() || call.method in METHODS_WITH_BODY
        return if (wanted) call.body.toRequestBody() else null
    }

    private fun answered(answer: HttpExchangeResult.Answered): ServiceResult.Answered {
        val fields = answer.headers.map { (name, value) -> HttpField(name, value) }
        return ServiceResult.Answered(answer.status, fields.toPersistentList(), answer.body)
    }

    public companion object {
        /** The header that carries the request identifier. */
        public const val REQUEST_HEADER: String = "Plantainturn-Request"

        /** The header that carries the attempt's number. */
        public const val ATTEMPT_HEADER: String = "Plantainturn-Attempt"

        private const val KEY_HEADER = "Idempotency-Key"
        private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH", "PROPPATCH", "REPORT")
        private val OWN_FIELDS =
            setOf("host", "content-length", "transfer-encoding", "connection", "accept-encoding")
    }
}
