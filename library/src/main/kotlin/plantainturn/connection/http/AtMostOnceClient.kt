package plantainturn.connection.http

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * Returns this client, or one on the same connections, such that it sends every request at most once and tells by
 * [SendEvidence] whether it began to.
 *
 * It follows no redirect, repeats nothing after a fault of the connection, and speaks HTTP/1.1 only.
 */
internal fun OkHttpClient.sendingAtMostOnce(): OkHttpClient {
    if (AtMostOnceInterceptor in networkInterceptors) return this
    val listeners = eventListenerFactory
    return newBuilder()
        .protocols(listOf(Protocol.HTTP_1_1))
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .eventListenerFactory { call -> listeners.create(call) + SendFailureListener }
        .addInterceptor(ReadTimeoutInterceptor)
        .addNetworkInterceptor(CutAnswerInterceptor)
        .addNetworkInterceptor(StatusInterceptor)
        .addNetworkInterceptor(AtMostOnceInterceptor)
        .build()
}

/** Applies the [ReadTimeout] of a request. */
private object ReadTimeoutInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val limit = request.tag(ReadTimeout::class) ?: return chain.proceed(request)
        val milliseconds = limit.duration.inWholeMilliseconds.coerceIn(1, Int.MAX_VALUE.toLong())
        return chain.withReadTimeout(milliseconds.toInt(), TimeUnit.MILLISECONDS).proceed(request)
    }
}

/** Tells why the request of a call could not be written as a whole. A tag of the call. */
private class SendFailure {
    @Volatile
    var cause: IOException? = null
}

/** Records a [SendFailure] for [CutAnswerInterceptor], which is not told of it by OkHttp. */
private object SendFailureListener : EventListener() {
    override fun requestFailed(
        call: Call,
        ioe: IOException,
    ) {
        call.tag(SendFailure::class) { SendFailure() }.cause = ioe
    }
}

/**
 * Rejects an answer that ends with its connection if the connection was reset while the request was being written.
 *
 * OkHttp reads an answer after a failed write, too. The system reports a reset once only, so the read meets a regular
 * end, and a part of the answer would look whole.
 */
private object CutAnswerInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val cause = chain.call().tag(SendFailure::class)?.cause
        if (cause == null || isDelimited(response)) return response
        response.close()
        throw IOException("the connection was reset while the request was being sent: ${cause.message}", cause)
    }

    private fun isDelimited(response: Response): Boolean =
        response.header("Content-Length") != null ||
            response.header("Transfer-Encoding").equals("chunked", ignoreCase = true)
}

/**
 * Rejects an answer whose status is not a final one, from 200 to 599.
 *
 * OkHttp takes any three digits. It skips one informational answer and returns the next one as if it were final.
 */
private object StatusInterceptor : Interceptor {
    private val FINAL_STATUSES = 200..599

    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        if (response.code in FINAL_STATUSES) return response
        response.close()
        throw IOException("the status ${response.code} is not a final one")
    }
}

/**
 * Records that a connection was made and sending begins, and keeps OkHttp from sending the request again.
 *
 * OkHttp does so by itself after a 503 answer with `Retry-After: 0`, even when it is told to retry nothing; the field
 * is hidden from it.
 */
private object AtMostOnceInterceptor : Interceptor {
    private const val UNAVAILABLE_STATUS = 503
    private const val RETRY_AFTER = "Retry-After"

    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        request.tag(SendEvidence::class)?.sendingBegins()
        val response = chain.proceed(request)
        if (response.code != UNAVAILABLE_STATUS || response.header(RETRY_AFTER) != "0") return response
        return response.newBuilder().removeHeader(RETRY_AFTER).build()
    }
}
