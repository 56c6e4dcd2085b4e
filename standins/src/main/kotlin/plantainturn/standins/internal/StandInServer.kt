package plantainturn.standins.internal

import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.util.thread.QueuedThreadPool
import plantainturn.connection.http.ErrorAnswer

/** The HTTP server of a stand-in, with small thread pools. */
internal class StandInServer(
    private val host: String,
    private val port: Int,
    private val routes: (JavalinConfig) -> Unit,
) : AutoCloseable {
    private val javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.startup.startupWatcherEnabled = false
            config.jetty.threadPool = QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS)
            config.http.maxRequestSize = MAXIMUM_REQUEST_BYTES
            config.routes.exception(SerializationException::class.java) { exception, context ->
                context.answerError(BAD_REQUEST, exception.message.orEmpty(), notRun = true)
            }
            routes(config)
        }

    /** Starts the server and returns its port. */
    fun start(): Int = javalin.start(host, port).port()

    override fun close() {
        javalin.stop()
    }

    companion object {
        private const val MAXIMUM_THREADS = 24
        private const val MINIMUM_THREADS = 4
        private const val MAXIMUM_REQUEST_BYTES = 16L * 1024 * 1024
        private const val BAD_REQUEST = 400

        /** The JSON dialect of the stand-ins. */
        val JSON: Json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }
    }
}

/** Reads the request's body as JSON. */
internal fun <T> Context.readJson(serializer: KSerializer<T>): T =
    StandInServer.JSON.decodeFromString(serializer, body())

/** Answers with [status] and [value] as JSON. */
internal fun <T> Context.answerJson(
    status: Int,
    serializer: KSerializer<T>,
    value: T,
) {
    status(status)
    contentType("application/json")
    result(StandInServer.JSON.encodeToString(serializer, value))
}

/** Answers with an error that says whether the request provably had no effect. */
internal fun Context.answerError(
    status: Int,
    message: String,
    notRun: Boolean,
) {
    answerJson(status, ErrorAnswer.serializer(), ErrorAnswer.of(message, notRun))
}

/** Breaks the connection without an answer. */
internal fun Context.breakConnection() {
    ServletContextRequest
        .getServletContextRequest(req())
        .connectionMetaData
        .connection
        .endPoint
        .close()
}
