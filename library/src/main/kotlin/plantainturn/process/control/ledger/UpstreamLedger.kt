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
 * What one engine holds and may come to hold, under one lease.
 *
 * Immutable. [reported] and the order transitions return the state that follows. What is in [orders] may still act;
 * an order leaves only when it can't act any more.
 *
 * @property fence the lease under which orders are issued
 * @property capacityMegabytes memory that weights may take, the cache reserve excluded
 * @property refusesOldFences whether the engine refuses orders below the highest fence it has seen
 * @property openedAt when this state was begun; reports that were taken earlier say nothing
 * @property report the latest report that counts, null until there is one
 * @property reportedAt the earliest moment at which [report] can have been taken
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
    /** The weights that the latest report shows. */
    public val residents: PersistentMap<Weights, Resident> =
        report
            ?.residents
            .orEmpty()
            .associateBy { Weights.of(it) }
            .toPersistentMap()

    /**
     * Whether the state is known well enough to issue orders.
     *
     * An engine that refuses old fences must have shown a report with the present fence, so that nothing older can act.
     */
    public val established: Boolean
        get() = report != null && (!refusesOldFences || report.highestFence == fence)

    /** Whether a barrier under the present fence must be sent before anything else. */
    public val needsBarrier: Boolean
        get() = refusesOldFences && (report == null || report.highestFence < fence)

    /** Memory that is resident, in megabytes. */
    public val residentMegabytes: Long = report?.residents.orEmpty().sumOf { it.memoryMegabytes }

    /** Memory of loads that are reserved, on their way or in doubt and not resident yet, in megabytes. */
    public val reservedMegabytes: Long =
        orders.values
            .filter { it.phase != OrderPhase.ENDED && it.loads !in residents }
            .sumOfDistinctLoads()

    /**
     * Memory of all loads that may still arrive, in megabytes.
     *
     * An engine that restarts holds nothing and has forgotten which orders it applied, so that it may take each of
     * these once more, and nothing else.
     */
    public val afterRestartMegabytes: Long = orders.values.sumOfDistinctLoads()

    /** Memory that a new load may reserve now, in megabytes. */
    public val freeMegabytes: Long
        get() =
            (
                capacityMegabytes -
                    maxOf(
                        residentMegabytes + reservedMegabytes,
                        afterRestartMegabytes,
                    )
            ).coerceAtLeast(0)

    /** Returns the state with [order] reserved. */
    public fun reserved(order: EngineOrder): UpstreamLedger = with(LedgerOrder(order, OrderPhase.RESERVED))

    /** Returns the state with an order of an earlier lease that may have been sent until [lastSentAt]. */
    public fun inherited(
        order: EngineOrder,
        lastSentAt: Moment,
    ): UpstreamLedger = with(LedgerOrder(order, OrderPhase.IN_DOUBT, lastSentAt))

    /** Returns the state without the order, which was never sent; unchanged if it was. */
    public fun withdrawn(identifier: OrderIdentifier): UpstreamLedger {
        val found = orders[identifier] ?: return this
        return if (found.phase == OrderPhase.RESERVED) without(identifier) else this
    }

    /** Returns the state with [changed] in the place of the order with the same identifier. */
    public fun with(changed: LedgerOrder): UpstreamLedger = copy(orders = orders.put(changed.order.identifier, changed))

    private fun without(identifier: OrderIdentifier): UpstreamLedger = copy(orders = orders.remove(identifier))
}

private fun Collection<LedgerOrder>.sumOfDistinctLoads(): Long =
    filter { it.loads != null }
        .groupBy { it.loads }
        .values
        .sumOf { same -> same.maxOf { Weights.memoryNeededBy(it.order.action) } }
