package plantainturn.connection.http

import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Response
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Makes the HTTP clients on which the connections to upstreams, the platform and peers run. */
public object HttpClients {
    private val DEFAULT_CONNECT_TIMEOUT = 1.seconds
    private const val MAXIMUM_IDLE_CONNECTIONS = 64
    private const val IDLE_SECONDS = 10L
    private const val UNAVAILABLE_STATUS = 503
    private const val RETRY_AFTER = "Retry-After"

    /**
     * Returns a client that sends every request at most once.
     *
     * It follows no redirect, repeats nothing after a fault of the connection, and speaks HTTP/1.1 only. One client
     * serves a whole process; its connections are shared.
     *
     * @param connectTimeout the time that making a connection may take
     */
    public fun create(connectTimeout: Duration = DEFAULT_CONNECT_TIMEOUT): OkHttpClient =
        OkHttpClient
            .Builder()
            .protocols(listOf(Protocol.HTTP_1_1))
            .connectionPool(ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(connectTimeout.toJavaDuration())
            .eventListenerFactory { call -> call.request().tag(SendEvidence::class) ?: EventListener.NONE }
            .addInterceptor(::applyReadTimeout)
            .addNetworkInterceptor(::preventSilentRepeat)
            .build()

    private fun applyReadTimeout(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val limit = request.tag(ReadTimeout::class) ?: return chain.proceed(request)
        val milliseconds = limit.duration.inWholeMilliseconds.coerceIn(1, Int.MAX_VALUE.toLong())
        return chain.withReadTimeout(milliseconds.toInt(), TimeUnit.MILLISECONDS).proceed(request)
    }

    /** Hides `Retry-After: 0` of a 503 answer, upon which OkHttp would send the request again by itself. */
    private fun preventSilentRepeat(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        if (response.code != UNAVAILABLE_STATUS || response.header(RETRY_AFTER) != "0") return response
        return response.newBuilder().removeHeader(RETRY_AFTER).build()
    }
}
