package plantainturn.relay.request

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import plantainturn.connection.http.HeldBytes
import plantainturn.process.ResultCode
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of requests: counters by result, and histograms of their times. */
public class RelayMetrics(
    private val registry: PrometheusRegistry,
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
    private val repetitions =
        Counter
            .builder()
            .name("plantainturn_relay_repetitions_total")
            .help("Requests for a further arrival of a request at an instance, by whether the bound allowed it.")
            .labelNames("granted")
            .register(registry)
    private val permits =
        Counter
            .builder()
            .name("plantainturn_relay_permits_total")
            .help("Requests for a permit to send to an instance that limits its requests, by whether it was granted.")
            .labelNames("granted")
            .register(registry)
    private val otherAnswers =
        Counter
            .builder()
            .name("plantainturn_relay_other_answers_total")
            .help("Answers on connections to instances that were not taken for the answer to the request in progress.")
            .register(registry)
    private val firstByte =
        Histogram
            .builder()
            .name("plantainturn_relay_first_byte_seconds")
            .help("Time from a request's arrival to the first byte of its answer from an upstream.")
            .classicOnly()
            .register(registry)
    private val answerTime =
        Histogram
            .builder()
            .name("plantainturn_relay_answer_seconds")
            .help("Time from a request's arrival to the end of its answer.")
            .classicOnly()
            .register(registry)

    /** Registers a gauge of the unanswered orders, of which there are [count] at present. */
    internal fun gaugeUnansweredOrders(count: () -> Int) {
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_unanswered_orders")
            .help("Orders to engines that were not answered and may still be executed.")
            .callback { it.call(count().toDouble()) }
            .register(registry)
    }

    /** Registers metrics of what [held] counts. */
    internal fun gaugeHeldBytes(held: HeldBytes) {
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_held_bytes")
            .help("Memory of messages that are not complete, of all connections.")
            .callback { it.call(held.total.toDouble()) }
            .register(registry)
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_held_bytes_limit")
            .help("The bound on plantainturn_relay_held_bytes.")
            .callback { it.call(held.limit.toDouble()) }
            .register(registry)
        CounterWithCallback
            .builder()
            .name("plantainturn_relay_given_up_total")
            .help("Incomplete messages that were given up since memory was scarce.")
            .callback { it.call(held.givenUp.toDouble()) }
            .register(registry)
    }

    internal fun onEnd(
        urgency: Int?,
        code: ResultCode,
        elapsed: Duration,
    ) {
        requests.labelValues(urgency?.toString() ?: "-", code.number.toString()).inc()
        answerTime.observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    internal fun onSend(outcome: String) {
        sends.labelValues(outcome).inc()
    }

    internal fun onRepetition(granted: Boolean) {
        repetitions.labelValues(granted.toString()).inc()
    }

    internal fun onPermit(granted: Boolean) {
        permits.labelValues(granted.toString()).inc()
    }

    internal fun onOtherAnswer() {
        otherAnswers.inc()
    }

    internal fun onFirstByte(elapsed: Duration) {
        firstByte.observe(elapsed.toDouble(DurationUnit.SECONDS))
    }
}
