package plantainturn.daemon.node

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import plantainturn.daemon.caller.ResultObserver
import plantainturn.process.ResultCode
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts callers' requests by result code and measures how long they take. */
internal class RequestMetrics(
    registry: PrometheusRegistry,
) : ResultObserver {
    private val requests =
        Counter
            .builder()
            .name("plantainturn_requests_total")
            .help("Callers' requests by result code.")
            .labelNames("code")
            .register(registry)
    private val seconds =
        Histogram
            .builder()
            .name("plantainturn_request_seconds")
            .help("Time from the arrival of a request to the end of its answer.")
            .classicOnly()
            .register(registry)

    override fun observe(
        code: ResultCode,
        elapsed: Duration,
    ) {
        requests.labelValues(code.number.toString()).inc()
        seconds.observe(elapsed.toDouble(DurationUnit.SECONDS))
    }
}
