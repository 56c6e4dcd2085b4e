package plantainturn.process.control.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import plantainturn.connection.engine.FenceNumber
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks what one engine holds, as the lease holder must assume it, and decides which orders may be sent to it.
 *
 * Every order names the sequence that the engine must have, so an unanswered order can take effect only instead of the
 * next one, never in addition to it. A restart is the exception: the sequence starts again, and an old order may match
 * it a second time. What such orders would load stays reserved for [delayBound] after the restart.
 *
 * Not thread-safe: confined to one thread.
 *
 * @param delayBound the longest time after which an unanswered order may still be executed
 */
public class EngineLedger(
    public val engine: UpstreamName,
    private val delayBound: Duration = DEFAULT_DELAY_BOUND,
) {
    private var startedAt: Long? = null
    private val unanswered = ArrayList<UnansweredOrder>()

    /** The number of orders that the engine has accepted since its start, null until the engine has reported it. */
    public var sequence: Long? = null
        private set

    /** Base models that can serve requests, with their adapters. */
    public var residents: PersistentMap<ModelName, PersistentSet<ModelName>> = persistentMapOf()
        private set

    /** The base model whose load was accepted and has not been seen to complete yet. */
    public var loading: ModelName? = null
        private set

    /** The base model whose unload was accepted and has not been seen to complete yet. */
    public var unloading: ModelName? = null
        private set

    /** When the current order for a base model was sent, null if there is none. */
    public var orderedAt: Moment? = null
        private set

    /** Models with a copy of their weights in host memory. */
    public var hostCopies: PersistentSet<ModelName> = persistentSetOf()
        private set

    /** Models with a copy of their weights on disk. */
    public var diskCopies: PersistentSet<ModelName> = persistentSetOf()
        private set

    /** Whether a call that sends an order is in progress. */
    public var orderInFlight: Boolean = false
        private set

    /** When the last applied reading was requested, null if there is none. */
    public var readAt: Moment? = null
        private set

    /** Whether the engine is executing an order that this ledger did not issue, such as an earlier lease holder's. */
    public var isBusyWithUnknownOrder: Boolean = false
        private set

    /** Whether a base model is being loaded or unloaded, so that no other base model can be ordered. */
    public val isChanging: Boolean
        get() = loading != null || unloading != null || isBusyWithUnknownOrder

    /** Whether a new reading is needed before the next order. */
    public var needsReading: Boolean = true
        private set

    /** Applies [reading], which was requested at [askedAt]. */
    public fun onReading(
        reading: EngineReading,
        askedAt: Moment,
    ) {
        if (startedAt != null && reading.startedAt != startedAt) resetAfterRestart(askedAt)
        startedAt = reading.startedAt
        val known = sequence
        if (known != null && reading.sequence < known) return
        sequence = reading.sequence
        readAt = askedAt
        unanswered.removeAll { it.expected < reading.sequence && it.restartedAt == null }
        hostCopies = reading.hostCopies
        diskCopies = reading.diskCopies
        residents =
            reading.residents.mapValuesPersistent { model, adapters ->
                adapters + reading.arrivingAdapters[model].orEmpty()
            }
        if (!reading.busy) {
            loading = null
            unloading = null
            orderedAt = null
        }
        isBusyWithUnknownOrder = reading.busy && loading == null && unloading == null
        needsReading = false
    }

    /** Returns an order for [action] if it may be sent to the engine at [now], or null. */
    public fun prepare(
        action: ResidenceAction,
        fleet: EngineFleet,
        fence: FenceNumber,
        now: Moment,
    ): SequencedOrder? {
        val expected = sequence
        val known = !orderInFlight && !needsReading
        if (!known || expected == null || !isAdmissible(action, fleet, now)) return null
        orderInFlight = true
        return SequencedOrder(engine, action, expected, fence)
    }

    /** Records [result] as the answer to [order], which was sent at [sentAt]. */
    public fun onResult(
        order: SequencedOrder,
        result: SequencedOrderResult,
        sentAt: Moment,
    ) {
        orderInFlight = false
        when (result) {
            SequencedOrderResult.Accepted -> onAccepted(order, sentAt)
            SequencedOrderResult.AlreadyHolds -> applyToResidents(order.action)
            is SequencedOrderResult.Invalid -> Unit
            SequencedOrderResult.OutOfStep, is SequencedOrderResult.StaleFence -> needsReading = true
            is SequencedOrderResult.Unknown -> {
                unanswered += UnansweredOrder(order.action, order.expectedSequence, restartedAt = null)
                needsReading = true
            }
        }
    }

    /** Clears what the engine is assumed to hold, such as after its restart. */
    public fun onRestart(now: Moment) {
        resetAfterRestart(now)
        startedAt = null
    }

    /** Returns the memory that is in use or may come to be used, in megabytes. */
    public fun committedMegabytes(
        fleet: EngineFleet,
        now: Moment,
    ): Double {
        dropExpiredOrders(now)
        val held = residents.keys + listOfNotNull(loading) + unansweredLoads()
        val adapters = residents.entries.sumOf { (model, names) -> names.size * adapterSize(fleet, model) }
        return held.sumOf { fleet.models[it]?.memoryMegabytes ?: 0.0 } + adapters
    }

    /** Returns the number of adapters that the engine holds. */
    public fun adapterCount(): Int = residents.values.sumOf { it.size }

    private fun isAdmissible(
        action: ResidenceAction,
        fleet: EngineFleet,
        now: Moment,
    ): Boolean {
        val specification = fleet.models[action.model] ?: return false
        return when (action.kind) {
            ResidenceAction.Kind.UNLOAD -> !isChanging || action.adapter != null
            ResidenceAction.Kind.LOAD ->
                if (action.adapter != null) {
                    action.model in residents &&
                        unloading != action.model &&
                        adapterCount() < fleet.adapterSlots &&
                        committedMegabytes(fleet, now) + specification.adapterMegabytes <= fleet.weightMegabytes
                } else {
                    !isChanging && action.model !in residents && fits(specification.memoryMegabytes, fleet, now)
                }
        }
    }

    /** Returns whether a base model fits in. [ResidencePlanner] also keeps room for adapters in all places free. */
    private fun fits(
        megabytes: Double,
        fleet: EngineFleet,
        now: Moment,
    ): Boolean = committedMegabytes(fleet, now) + megabytes <= fleet.weightMegabytes

    private fun onAccepted(
        order: SequencedOrder,
        sentAt: Moment,
    ) {
        sequence = order.expectedSequence + 1
        val action = order.action
        when {
            action.adapter != null -> applyToResidents(action)
            action.kind == ResidenceAction.Kind.LOAD -> {
                loading = action.model
                orderedAt = sentAt
            }
            else -> {
                unloading = action.model
                orderedAt = sentAt
            }
        }
    }

    private fun applyToResidents(action: ResidenceAction) {
        val adapter = action.adapter
        val present = residents[action.model]
        residents =
            when {
                adapter == null && action.kind == ResidenceAction.Kind.LOAD ->
                    residents.put(action.model, present ?: persistentSetOf())
                adapter == null -> residents.remove(action.model)
                present == null -> residents
                action.kind == ResidenceAction.Kind.LOAD -> residents.put(action.model, present + adapter)
                else -> residents.put(action.model, present - adapter)
            }
    }

    private fun resetAfterRestart(now: Moment) {
        unanswered.replaceAll { if (it.restartedAt == null) it.copy(restartedAt = now) else it }
        sequence = null
        residents = persistentMapOf()
        loading = null
        unloading = null
        orderedAt = null
        isBusyWithUnknownOrder = false
        hostCopies = persistentSetOf()
        needsReading = true
    }

    private fun dropExpiredOrders(now: Moment) {
        unanswered.removeAll { order -> order.restartedAt?.let { now > it + delayBound } ?: false }
    }

    private fun unansweredLoads(): List<ModelName> =
        unanswered
            .filter {
                it.restartedAt != null && it.action.kind == ResidenceAction.Kind.LOAD && it.action.adapter == null
            }.map { it.action.model }

    private fun adapterSize(
        fleet: EngineFleet,
        model: ModelName,
    ): Double = fleet.models[model]?.adapterMegabytes ?: 0.0

    private data class UnansweredOrder(
        val action: ResidenceAction,
        val expected: Long,
        val restartedAt: Moment?,
    )

    private companion object {
        /** One second more than an order can be delayed, because the restart itself is noticed late. */
        val DEFAULT_DELAY_BOUND = SequencedOrder.MAXIMUM_EXECUTION_DELAY + 1.seconds

        fun <K, V> PersistentMap<K, V>.mapValuesPersistent(transform: (K, V) -> V): PersistentMap<K, V> {
            val builder = builder()
            for ((key, value) in this) builder[key] = transform(key, value)
            return builder.build()
        }
    }
}
