package plantainturn.daemon.http

import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import org.eclipse.jetty.util.thread.QueuedThreadPool
import plantainturn.daemon.settings.ListenSettings

/** Builds the HTTP servers of a node, alike in all but their routes and limits. */
internal object HttpServers {
    private const val MINIMUM_THREADS = 4
    private const val MINIMUM_BODY_BYTES_PER_SECOND = 256L

    fun create(
        name: String,
        listen: ListenSettings,
        limits: HttpLimits,
        configure: (JavalinConfig) -> Unit,
    ): Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.startup.showOldJavalinVersionWarning = false
            config.startup.startupWatcherEnabled = false
            config.jetty.host = listen.address
            config.jetty.port = listen.port
            config.jetty.threadPool = QueuedThreadPool(limits.threads, MINIMUM_THREADS).apply { this.name = name }
            config.http.maxRequestSize = limits.bodyBytes
            config.http.asyncTimeout = 0
            config.http.disableCompression()
            config.jetty.modifyHttpConfiguration { http ->
                http.sendServerVersion = false
                http.idleTimeout = limits.idleMilliseconds
                http.minRequestDataRate = MINIMUM_BODY_BYTES_PER_SECOND
            }
            configure(config)
        }

    private fun io.javalin.config.HttpConfig.disableCompression() {
        compressionStrategy = io.javalin.compression.CompressionStrategy.NONE
    }
}
