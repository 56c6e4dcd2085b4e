package plantainturn.connection.http

import kotlinx.serialization.json.Json
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okio.Buffer
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Sends requests to one server and reads whole, bounded answers.
 *
 * @param address base URL of the server
 */
internal class HttpExchanger(
    client: OkHttpClient,
    address: String,
) {
    private val client = client.sendingAtMostOnce()
    private val base: HttpUrl = address.toHttpUrl()

    /** Returns the URL below the server's address with these path segments. */
    fun url(vararg segments: String): HttpUrl.Builder {
        val builder = base.newBuilder()
        segments.forEach(builder::addPathSegment)
        return builder
    }

    /** Sends [request] once and reads the answer, all within [timeout]. */
    fun exchange(
        request: Request.Builder,
        timeout: Duration,
    ): HttpExchangeResult {
        val evidence = SendEvidence()
        val tagged =
            request
                .tag(SendEvidence::class, evidence)
                .tag(ReadTimeout::class, ReadTimeout(timeout))
                .build()
        val call = client.newCall(tagged)
        call.timeout().timeout(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        return try {
            call.execute().use(::readAnswer)
        } catch (exception: IOException) {
            failure(evidence, exception)
        }
    }

    private fun readAnswer(response: Response): HttpExchangeResult {
        val buffer = Buffer()
        val source = response.body.source()
        while (buffer.size <= MAXIMUM_BODY_BYTES) {
            if (source.read(buffer, READ_BYTES) < 0) {
                return HttpExchangeResult.Answered(response.code, response.headers, buffer.readByteArray())
            }
        }
        return HttpExchangeResult.Unknown("the answer is larger than $MAXIMUM_BODY_BYTES bytes")
    }

    companion object {
        /** Bytes that an answer's body may have. */
        const val MAXIMUM_BODY_BYTES = 16L * 1024 * 1024
        private const val READ_BYTES = 8192L
        private val JSON_MEDIA_TYPE = "application/json".toMediaType()

        /** The JSON dialect of the messages: unknown members are ignored, so that servers may be newer. */
        val JSON: Json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }

        /** Returns a body of JSON [text]. */
        fun jsonBody(text: String): RequestBody = text.toRequestBody(JSON_MEDIA_TYPE)

        /** Returns what [exception] says about a request, given the [evidence] of its sending. */
        fun failure(
            evidence: SendEvidence,
            exception: IOException,
        ): HttpExchangeResult {
            val reason = exception.message ?: exception.javaClass.simpleName
            return if (evidence.sendingBegan) HttpExchangeResult.Unknown(reason) else HttpExchangeResult.NotSent(reason)
        }
    }
}
