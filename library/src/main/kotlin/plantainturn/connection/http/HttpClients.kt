package plantainturn.connection.http

import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Makes the HTTP clients on which the connections to upstreams, the platform and peers run. */
public object HttpClients {
    private val DEFAULT_CONNECT_TIMEOUT = 1.seconds
    private const val MAXIMUM_IDLE_CONNECTIONS = 64
    private const val IDLE_SECONDS = 10L

    /**
     * Returns a client that sends every request at most once.
     *
     * One client serves a whole process; its connections are shared. They are dropped when idle for less long than
     * servers commonly keep them, so that few requests meet a connection that the server is closing.
     *
     * @param connectTimeout the time that making a connection may take
     */
    public fun create(connectTimeout: Duration = DEFAULT_CONNECT_TIMEOUT): OkHttpClient =
        OkHttpClient
            .Builder()
            .connectionPool(ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
            .connectTimeout(connectTimeout.toJavaDuration())
            .build()
            .sendingAtMostOnce()
}
