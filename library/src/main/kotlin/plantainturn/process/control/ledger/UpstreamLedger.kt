package plantainturn.process.control.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.engine.Resident
import plantainturn.process.time.Moment

/**
 * The weights that one engine holds or may come to hold, under one lease.
 *
 * Immutable: each transition returns the resulting state. [orders] holds every order that may still take effect; an
 * order is removed only when it can no longer do so.
 *
 * @property fence the lease under which orders are issued
 * @property capacityMegabytes memory that weights may take, without the cache reserve
 * @property refusesOldFences whether the engine refuses orders below the highest fence it has seen
 * @property openedAt when this ledger was opened; reports taken earlier prove nothing
 * @property report the latest report that was applied, null if there is none yet
 * @property reportedAt the earliest moment at which [report] can have been taken, [openedAt] without a report
 */
public data class UpstreamLedger(
    val fence: FenceNumber,
    val capacityMegabytes: Long,
    val refusesOldFences: Boolean,
    val openedAt: Moment,
    val report: EngineReport? = null,
    val reportedAt: Moment = openedAt,
    val orders: PersistentMap<OrderIdentifier, LedgerOrder> = persistentMapOf(),
) {
    /** The resident weights according to the latest report. */
    public val residents: PersistentMap<Weights, Resident> =
        report
            ?.residents
            .orEmpty()
            .associateBy { Weights.of(it) }
            .toPersistentMap()

    /**
     * Whether enough is known about the engine to issue orders.
     *
     * An engine that refuses old fences must have reported the current fence, so that no older order can take effect.
     */
    public val established: Boolean
        get() = report != null && (!refusesOldFences || report.highestFence == fence)

    /** Whether a barrier with the current fence must be sent before any other order. */
    public val needsBarrier: Boolean
        get() = refusesOldFences && (report == null || report.highestFence < fence)

    /** Memory of resident weights, in megabytes. */
    public val residentMegabytes: Long = report?.residents.orEmpty().sumOf { it.memoryMegabytes }

    /** Memory of loads that are reserved, in flight or in doubt and not resident yet, in megabytes. */
    public val reservedMegabytes: Long =
        orders.values
            .filter { it.phase != OrderPhase.ENDED && it.loads !in residents }
            .sumOfDistinctLoads()

    /**
     * Memory of all loads that may still take effect after a restart, in megabytes.
     *
     * An engine that restarts holds nothing and no longer knows which orders it applied, so it may apply each of these
     * again, and nothing else.
     */
    public val afterRestartMegabytes: Long = orders.values.sumOfDistinctLoads()

    /** Memory that is free for new reservations, in megabytes. */
    public val freeMegabytes: Long
        get() =
            (
                capacityMegabytes -
                    maxOf(
                        residentMegabytes + reservedMegabytes,
                        afterRestartMegabytes,
                    )
            ).coerceAtLeast(0)

    /** Returns the ledger with [order] reserved. */
    public fun reserved(order: EngineOrder): UpstreamLedger = with(LedgerOrder(order, OrderPhase.RESERVED))

    /** Returns the ledger with an order of an earlier lease that may have been sent up to [lastSentAt]. */
    public fun inherited(
        order: EngineOrder,
        lastSentAt: Moment,
    ): UpstreamLedger = with(LedgerOrder(order, OrderPhase.IN_DOUBT, lastSentAt))

    /** Returns the ledger without the order, or unchanged if the order was already sent. */
    public fun withdrawn(identifier: OrderIdentifier): UpstreamLedger {
        val found = orders[identifier] ?: return this
        return if (found.phase == OrderPhase.RESERVED) without(identifier) else this
    }

    /** Returns the ledger with [changed] in place of the order with the same identifier. */
    public fun with(changed: LedgerOrder): UpstreamLedger = copy(orders = orders.put(changed.order.identifier, changed))

    private fun without(identifier: OrderIdentifier): UpstreamLedger = copy(orders = orders.remove(identifier))
}

private fun Collection<LedgerOrder>.sumOfDistinctLoads(): Long =
    filter { it.loads != null }
        .groupBy { it.loads }
        .values
        .sumOf { same -> same.maxOf { Weights.memoryNeededBy(it.order.action) } }
