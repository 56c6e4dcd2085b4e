package plantainturn.process.control.controller.internal

import plantainturn.connection.engine.EngineAction
import plantainturn.process.control.ledger.MemoryLedger
import plantainturn.process.control.ledger.OrderPhase
import plantainturn.process.control.ledger.UpstreamLedger
import plantainturn.process.time.Moment
import plantainturn.version.configuration.WeightStoreLimits
import kotlin.time.DurationUnit

/**
 * Limits the loads of one shard to its share of the weight store's limits.
 *
 * A token bucket limits the rate of model loads. Where more than one model load may be in flight, one is reserved for
 * emergencies. Not thread-safe: used by one thread.
 */
internal class LoadBudget(
    private val share: Double,
) {
    private var tokens = 1.0
    private var refilledAt: Moment? = null

    /** Refills the token bucket; called once a round before [admits]. */
    fun refill(
        limits: WeightStoreLimits,
        now: Moment,
    ) {
        val rate = limits.loadsPerSecond * share
        val since = refilledAt?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
        tokens = (tokens + rate * since).coerceAtMost(maxOf(1.0, rate))
        refilledAt = now
    }

    /** Returns whether [action] may start now, and if so takes a token for a model load. */
    fun admits(
        action: EngineAction,
        emergency: Boolean,
        ledger: MemoryLedger,
        limits: WeightStoreLimits,
    ): Boolean =
        when (action) {
            is EngineAction.LoadModel -> admitsModel(emergency, ledger, limits)
            is EngineAction.LoadAdapter -> adaptersInFlight(ledger) < scaled(limits.concurrentAdapterLoads)
            else -> true
        }

    /** Returns the token that [admits] took for [action], for an order that was not issued. */
    fun refund(action: EngineAction) {
        if (action is EngineAction.LoadModel) tokens += 1.0
    }

    private fun admitsModel(
        emergency: Boolean,
        ledger: MemoryLedger,
        limits: WeightStoreLimits,
    ): Boolean {
        val slots = scaled(limits.concurrentLoads)
        val usable = if (emergency || slots == 1) slots else slots - 1
        if (modelsInFlight(ledger) >= usable || tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private fun scaled(limit: Int): Int = (limit * share).toInt().coerceAtLeast(1)

    private fun modelsInFlight(ledger: MemoryLedger): Int = loadsInFlight(ledger) { it is EngineAction.LoadModel }

    private fun adaptersInFlight(ledger: MemoryLedger): Int = loadsInFlight(ledger) { it is EngineAction.LoadAdapter }

    private fun loadsInFlight(
        ledger: MemoryLedger,
        kind: (EngineAction) -> Boolean,
    ): Int = ledger.upstreams().mapNotNull(ledger::get).sumOf { openLoads(it, kind) }

    private fun openLoads(
        ledger: UpstreamLedger,
        kind: (EngineAction) -> Boolean,
    ): Int = ledger.orders.values.count { it.phase != OrderPhase.ENDED && kind(it.order.action) }
}
