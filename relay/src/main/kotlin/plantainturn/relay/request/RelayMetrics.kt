package plantainturn.relay.request

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import plantainturn.connection.http.HeldBytes
import plantainturn.connection.store.StoreCallKind
import plantainturn.connection.store.TopicName
import plantainturn.process.ResultCode
import plantainturn.relay.loop.LoopWork
import plantainturn.request.relay.OriginTelling
import plantainturn.request.relay.PaceEstimate
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.ClientAccountName
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
    private val storeCalls =
        Counter
            .builder()
            .name("plantainturn_relay_store_calls_total")
            .help("Calls to the store by topic and kind, refused ones too; each is billed.")
            .labelNames("topic", "kind")
            .register(registry)
    private val exchangeBytes =
        Counter
            .builder()
            .name("plantainturn_relay_exchange_bytes_total")
            .help("Bytes of the bodies of exchanges between this node and the issuer, by direction and message.")
            .labelNames("direction", "message")
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

    /** What the event loop spends its time on. */
    internal val work: LoopWork = LoopWork()
    private val forwards =
        Counter
            .builder()
            .name("plantainturn_relay_forwards_total")
            .help("Requests handed to other nodes while this one was cut off from their service, by outcome.")
            .labelNames("outcome")
            .register(registry)
    private val originsTold =
        Counter
            .builder()
            .name("plantainturn_relay_stream_origins_total")
            .help("Streams whose callers got an event once another node was told the software version, by its answer.")
            .labelNames("result")
            .register(registry)
    private val resumed =
        Counter
            .builder()
            .name("plantainturn_relay_resumed_streams_total")
            .help("Requests of callers that resume a stream: continued, or refused as no node knows its version.")
            .labelNames("outcome")
            .register(registry)
    private val loopDelay =
        Histogram
            .builder()
            .name("plantainturn_relay_loop_delay_seconds")
            .help("How late the event loop runs its timers.")
            .classicOnly()
            .classicUpperBounds(0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)
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

    /** Registers a gauge of the requests that wait for a model or adapter, of which there are [counts] by account. */
    internal fun gaugeWaiting(counts: () -> Map<ClientAccountName?, Int>) {
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_waiting_requests")
            .help("Requests that wait for a model or adapter, by account; an empty name for those without an account.")
            .labelNames("account")
            .callback { gauge ->
                for ((account, count) in counts()) gauge.call(count.toDouble(), account?.value.orEmpty())
            }.register(registry)
    }

    /** Registers gauges of how fast instances work, of which [paces] returns the present ones. */
    internal fun gaugePaces(paces: () -> Map<UpstreamName, PaceEstimate>) {
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_instance_pace")
            .help(
                "Time of work: stated (1 as usual), learned and in_use (seconds, or times nominal).",
            ).labelNames("instance", "figure")
            .callback { gauge ->
                for ((name, pace) in paces()) {
                    pace.stated?.let { gauge.call(it, name.value, "stated") }
                    val learned = pace.learned ?: continue
                    gauge.call(learned, name.value, "learned")
                    if (pace.isInUse) gauge.call(pace.inUse(learned), name.value, "in_use")
                }
            }.register(registry)
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_instance_pace_reason")
            .help("1 for what the expected time at an instance is based on.")
            .labelNames("instance", "reason")
            .callback { gauge ->
                for ((name, pace) in paces()) gauge.call(1.0, name.value, pace.reason.name.lowercase())
            }.register(registry)
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_instance_failure_share")
            .help("Share of this node's recent requests that an instance failed or refused.")
            .labelNames("instance")
            .callback { gauge -> for ((name, pace) in paces()) gauge.call(pace.failureShare, name.value) }
            .register(registry)
    }

    /** Registers a gauge of the services from which the node is cut off, of which there are [count] at present. */
    internal fun gaugeCutOff(count: () -> Int) {
        GaugeWithCallback
            .builder()
            .name("plantainturn_relay_cut_off_services")
            .help("Services of which this node reaches no instance.")
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

    internal fun onStoreCall(
        topic: TopicName,
        kind: StoreCallKind,
    ) {
        storeCalls.labelValues(topic.value, kind.name.lowercase()).inc()
    }

    /**
     * Counts the [bytes] of one message.
     *
     * @param message `report` or `answer`
     */
    internal fun onExchangeBytes(
        sent: Boolean,
        message: String,
        bytes: Int,
    ) {
        exchangeBytes.labelValues(if (sent) "sent" else "received", message).inc(bytes.toDouble())
    }

    internal fun onForward(outcome: String) {
        forwards.labelValues(outcome).inc()
    }

    internal fun onOriginTold(telling: OriginTelling) {
        originsTold.labelValues(telling.name.lowercase()).inc()
    }

    internal fun onResumed(outcome: String) {
        resumed.labelValues(outcome).inc()
    }

    internal fun onOtherAnswer() {
        otherAnswers.inc()
    }

    internal fun onFirstByte(elapsed: Duration) {
        firstByte.observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    internal fun onLoopDelay(delay: Duration) {
        loopDelay.observe(delay.toDouble(DurationUnit.SECONDS))
    }
}
