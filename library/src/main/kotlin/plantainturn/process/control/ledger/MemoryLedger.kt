package plantainturn.process.control.ledger

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.engine.OrderResult
import plantainturn.process.control.lease.IntendedOrder
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Accounts for the memory of all engines of a shard, as the holder of its lease must assume it.
 *
 * Resident, reserved and in-doubt memory together with the cache reserve stay within each engine's capacity at every
 * step. Each upstream has its own lock, so calls for different upstreams do not wait for each other.
 *
 * @param fence the fence of the lease that the ledger serves; each lease gets a new ledger
 * @param orderDelayBound the longest time between the end of a call that sent an order and its visible effect on the
 * engine's state, including a pause of the sender before the call
 */
public class MemoryLedger(
    public val fence: FenceNumber,
    orderDelayBound: Duration,
) {
    private val transition = ReportTransition(orderDelayBound)
    private val ledgers = ConcurrentHashMap<UpstreamName, GuardedLedger>()
    private val lastSequence = AtomicLong()

    /**
     * Opens the ledger of [upstream] at [now], unless it is open already.
     *
     * @param inherited orders of earlier leases that may still take effect there
     */
    public fun open(
        upstream: UpstreamName,
        specification: UpstreamSpecification,
        now: Moment,
        inherited: List<IntendedOrder> = emptyList(),
    ) {
        ledgers.computeIfAbsent(upstream) {
            val opened =
                UpstreamLedger(
                    fence = fence,
                    capacityMegabytes = specification.weightCapacityMegabytes,
                    refusesOldFences = specification.refusesOldFences,
                    openedAt = now,
                )
            GuardedLedger(inherited.fold(opened) { ledger, intended -> ledger.inherited(intended.order, now) })
        }
    }

    /** Returns the ledger of [upstream], or null if it is not open. */
    public fun get(upstream: UpstreamName): UpstreamLedger? = ledgers[upstream]?.read()

    /** Returns the names of the upstreams with an open ledger, in order. */
    public fun upstreams(): PersistentList<UpstreamName> = ledgers.keys.sorted().toPersistentList()

    /** Updates the capacity of [upstream]. Memory in use stays accounted for, even beyond a smaller capacity. */
    public fun resize(
        upstream: UpstreamName,
        specification: UpstreamSpecification,
    ) {
        update(upstream) { it.copy(capacityMegabytes = specification.weightCapacityMegabytes) }
    }

    /** Applies the report [received] from [upstream]. */
    public fun report(
        upstream: UpstreamName,
        received: TimestampedReport,
    ) {
        update(upstream) { transition.apply(it, received) }
    }

    /** Reserves the memory that [action] needs on [upstream] and assigns an identifier, if it may be issued now. */
    public fun reserve(
        upstream: UpstreamName,
        action: EngineAction,
    ): ReservationResult {
        val guarded = ledgers[upstream] ?: return ReservationResult.Refused(ReservationRefusal.UNKNOWN_UPSTREAM)
        return guarded.reserve(EngineOrder(OrderIdentifier(fence, lastSequence.incrementAndGet()), action))
    }

    /** Releases the reservation of an order that was never sent. */
    public fun withdraw(
        upstream: UpstreamName,
        identifier: OrderIdentifier,
    ) {
        update(upstream) { it.withdrawn(identifier) }
    }

    /** Records that a call that sends the order begins. Returns whether the order may be sent. */
    public fun beginSend(
        upstream: UpstreamName,
        identifier: OrderIdentifier,
    ): Boolean = ledgers[upstream]?.beginSend(identifier) ?: false

    /** Records that a call that sent the order returned [result] at [now]. */
    public fun endSend(
        upstream: UpstreamName,
        identifier: OrderIdentifier,
        result: OrderResult,
        now: Moment,
    ) {
        update(upstream) { ledger ->
            val order = ledger.orders[identifier] ?: return@update ledger
            ledger.with(order.copy(phase = phaseAfter(result), lastSentAt = now))
        }
    }

    /** Records that the order will not be sent again. */
    public fun giveUp(
        upstream: UpstreamName,
        identifier: OrderIdentifier,
    ) {
        update(upstream) { ledger ->
            val order = ledger.orders[identifier]?.takeIf { it.phase == OrderPhase.SENT } ?: return@update ledger
            ledger.with(order.copy(phase = OrderPhase.IN_DOUBT))
        }
    }

    /** Returns the views of all upstreams, ordered by name. */
    public fun views(): PersistentList<LedgerView> =
        upstreams().mapNotNull { name -> get(name)?.let { LedgerView.of(name, it) } }.toPersistentList()

    /** A refused order stays in doubt because an earlier copy of it may have been sent and still take effect. */
    private fun phaseAfter(result: OrderResult): OrderPhase =
        when (result) {
            OrderResult.Accepted -> OrderPhase.ACCEPTED
            is OrderResult.Refused, is OrderResult.StaleFence -> OrderPhase.IN_DOUBT
            is OrderResult.Unknown -> OrderPhase.SENT
        }

    private fun update(
        upstream: UpstreamName,
        transform: (UpstreamLedger) -> UpstreamLedger,
    ) {
        ledgers[upstream]?.update(transform)
    }

    /** The ledger of one upstream, guarded by a lock. */
    private class GuardedLedger(
        private var ledger: UpstreamLedger,
    ) {
        @Synchronized
        fun read(): UpstreamLedger = ledger

        @Synchronized
        fun update(transform: (UpstreamLedger) -> UpstreamLedger) {
            ledger = transform(ledger)
        }

        @Synchronized
        fun reserve(order: EngineOrder): ReservationResult {
            val refusal = ReservationCheck.refusal(ledger, order)
            if (refusal != null) return ReservationResult.Refused(refusal)
            ledger = ledger.reserved(order)
            return ReservationResult.Reserved(order)
        }

        @Synchronized
        fun beginSend(identifier: OrderIdentifier): Boolean {
            val order = ledger.orders[identifier] ?: return false
            if (order.phase != OrderPhase.RESERVED && order.phase != OrderPhase.SENT) return false
            ledger = ledger.with(order.copy(phase = OrderPhase.SENDING, sends = order.sends + 1))
            return true
        }
    }
}
