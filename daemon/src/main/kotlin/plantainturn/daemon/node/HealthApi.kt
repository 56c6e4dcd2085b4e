package plantainturn.daemon.node

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.prometheus.metrics.config.EscapingScheme
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Liveness, readiness and metrics. */
internal class HealthApi(
    private val readiness: Readiness,
    private val registry: PrometheusRegistry,
) {
    private val writer = PrometheusTextFormatWriter.create()

    /** Adds `/live` and `/ready` to [config]. */
    fun registerProbes(config: JavalinConfig) {
        config.routes.get("/live") { context -> context.result("live\n") }
        config.routes.get("/ready") { context -> writeReadiness(context) }
    }

    /** Adds `/metrics` to [config]. */
    fun registerMetrics(config: JavalinConfig) {
        config.routes.get("/metrics") { context -> writeMetrics(context) }
    }

    private fun writeReadiness(context: Context) {
        val reason = readiness.reasonAgainst()
        context.status(if (reason == null) HTTP_OK else HTTP_UNAVAILABLE)
        context.result((reason ?: "ready") + "\n")
    }

    private fun writeMetrics(context: Context) {
        val bytes = ByteArrayOutputStream()
        writer.write(bytes, registry.scrape(), EscapingScheme.DEFAULT)
        context.contentType(PrometheusTextFormatWriter.CONTENT_TYPE)
        context.result(bytes.toByteArray())
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
    }
}
