package plantainturn.relay.peer

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import plantainturn.process.ResultCode
import plantainturn.request.quota.AccountLevel
import plantainturn.version.route.ClientAccountName

/** Metrics of quotas. Accounts' names come from the configuration only. */
internal class QuotaMetrics(
    private val registry: PrometheusRegistry,
) {
    private val refusals =
        Counter
            .builder()
            .name("plantainturn_relay_quota_refusals_total")
            .help("Requests refused over the quota of their account, by account and result code.")
            .labelNames("account", "code")
            .register(registry)
    private val calls =
        Counter
            .builder()
            .name("plantainturn_relay_quota_calls_total")
            .help("Calls to the desk for a part of an account's quota, by whether it answered.")
            .labelNames("answered")
            .register(registry)

    fun onRefusal(
        account: ClientAccountName,
        code: ResultCode,
    ): Unit = refusals.labelValues(account.value, code.number.toString()).inc()

    fun onCall(answered: Boolean): Unit = calls.labelValues(answered.toString()).inc()

    /** Registers gauges of the buckets at the desk, of which [levels] returns the state. */
    fun gaugeLevels(levels: () -> Map<ClientAccountName, AccountLevel>) {
        gauge("plantainturn_relay_quota_units", "Units left of an account's quota at the desk; negative for a debt.") {
            levels().mapValues { it.value.units }
        }
        gauge("plantainturn_relay_quota_bound", "Whether nodes have to ask the desk before they admit a request.") {
            levels().mapValues { if (it.value.bound) 1.0 else 0.0 }
        }
    }

    private fun gauge(
        name: String,
        help: String,
        values: () -> Map<ClientAccountName, Double>,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .labelNames("account")
            .callback { gauge -> values().forEach { (account, value) -> gauge.call(value, account.value) } }
            .register(registry)
    }
}
