package plantainturn.standins.internal

import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.process.time.TimerService
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Takes an engine's orders: each once, and those under old fences as the engine is set. */
internal class EngineOrders(
    private val refusesOldFences: Boolean,
    private val memory: EngineMemory,
    private val timer: TimerService,
) {
    private val lock = ReentrantLock()
    private val seen = mutableSetOf<OrderIdentifier>()
    private val applied = ArrayDeque<OrderIdentifier>()
    private val failed = mutableListOf<OrderIdentifier>()
    private var highest = FenceNumber.NONE

    /** Takes [order], to take effect after [delay]; returns the higher fence that stands against it, if any. */
    fun receive(
        order: EngineOrder,
        delay: Duration,
    ): FenceNumber? {
        lock.withLock {
            staleAgainst(order)?.let { return it }
            highest = maxOf(highest, order.identifier.fence)
            if (!seen.add(order.identifier)) return null
        }
        if (delay.isPositive()) timer.schedule(delay) { applyLate(order) } else apply(order)
        return null
    }

    fun highestFence(): FenceNumber = lock.withLock { highest }

    fun latestApplied(): List<OrderIdentifier> = lock.withLock { applied.takeLast(REPORTED_ORDERS) }

    fun allApplied(): List<OrderIdentifier> = lock.withLock { applied.toList() }

    fun allFailed(): List<OrderIdentifier> = lock.withLock { failed.toList() }

    /** Forgets all, as a new process would. */
    fun restart() {
        lock.withLock {
            seen.clear()
            applied.clear()
            failed.clear()
            highest = FenceNumber.NONE
        }
    }

    private fun applyLate(order: EngineOrder) {
        val stale = lock.withLock { staleAgainst(order) }
        if (stale == null) apply(order) else finish(order, took = false)
    }

    private fun apply(order: EngineOrder) {
        memory.apply(order.action) { took -> finish(order, took) }
    }

    private fun finish(
        order: EngineOrder,
        took: Boolean,
    ) {
        lock.withLock {
            applied.addLast(order.identifier)
            if (!took) failed += order.identifier
        }
    }

    private fun staleAgainst(order: EngineOrder): FenceNumber? =
        highest.takeIf { refusesOldFences && order.identifier.fence < it }

    private companion object {
        const val REPORTED_ORDERS = 64
    }
}
