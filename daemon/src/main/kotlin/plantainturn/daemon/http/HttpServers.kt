package plantainturn.daemon.http

import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Builds the HTTP servers of a node, alike in all but their routes and limits. */
internal object HttpServers {
    private const val MINIMUM_THREADS = 4
    private const val ACCEPTORS = 1
    private const val SELECTORS = 1
    private const val MINIMUM_BODY_BYTES_PER_SECOND = 256L

    fun create(
        name: String,
        listener: BoundListener,
        limits: HttpLimits,
        configure: (JavalinConfig) -> Unit,
    ): Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.startup.showOldJavalinVersionWarning = false
            config.startup.startupWatcherEnabled = false
            config.jetty.addConnector { server, http -> connectorOf(server, http, listener, limits) }
            config.jetty.threadPool = QueuedThreadPool(limits.threads, MINIMUM_THREADS).apply { this.name = name }
            config.http.maxRequestSize = limits.bodyBytes
            config.http.asyncTimeout = 0
            config.http.disableCompression()
            configure(config)
        }

    private fun connectorOf(
        server: Server,
        http: HttpConfiguration,
        listener: BoundListener,
        limits: HttpLimits,
    ): ServerConnector {
        http.sendServerVersion = false
        http.idleTimeout = limits.idleMilliseconds
        http.minRequestDataRate = MINIMUM_BODY_BYTES_PER_SECOND
        val connector = ServerConnector(server, ACCEPTORS, SELECTORS, HttpConnectionFactory(http))
        connector.open(listener.channel)
        return connector
    }

    private fun io.javalin.config.HttpConfig.disableCompression() {
        compressionStrategy = io.javalin.compression.CompressionStrategy.NONE
    }
}
