package plantainturn.relay.request

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import plantainturn.process.ResultCode
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts requests and measures their times. */
public class RelayMetrics(
    registry: PrometheusRegistry,
) {
    private val requests =
        Counter
            .builder()
            .name("plantainturn_relay_requests_total")
            .help("Requests by route urgency and result code.")
            .labelNames("urgency", "code")
            .register(registry)
    private val sends =
        Counter
            .builder()
            .name("plantainturn_relay_sends_total")
            .help("Sends to instances by outcome.")
            .labelNames("outcome")
            .register(registry)
    private val firstByte =
        Histogram
            .builder()
            .name("plantainturn_relay_first_byte_seconds")
            .help("Time from a request's arrival to the first byte of its answer from an upstream.")
            .classicOnly()
            .register(registry)
    private val whole =
        Histogram
            .builder()
            .name("plantainturn_relay_answer_seconds")
            .help("Time from a request's arrival to the end of its answer.")
            .classicOnly()
            .register(registry)

    internal fun onEnd(
        urgency: Int?,
        code: ResultCode,
        elapsed: Duration,
    ) {
        requests.labelValues(urgency?.toString() ?: "-", code.number.toString()).inc()
        whole.observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    internal fun onSend(outcome: String) {
        sends.labelValues(outcome).inc()
    }

    internal fun onFirstByte(elapsed: Duration) {
        firstByte.observe(elapsed.toDouble(DurationUnit.SECONDS))
    }
}
