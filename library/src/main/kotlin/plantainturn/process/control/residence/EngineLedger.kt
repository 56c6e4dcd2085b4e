package plantainturn.process.control.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import plantainturn.connection.engine.FenceNumber
import plantainturn.process.control.residence.internal.EngineContent
import plantainturn.process.control.residence.internal.EngineUse
import plantainturn.process.control.residence.internal.addedUse
import plantainturn.process.control.residence.internal.after
import plantainturn.process.control.residence.internal.useOf
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet

/**
 * Tracks what one engine holds, as the lease holder must assume it, and decides which orders may be sent to it.
 *
 * Every order names the sequence that the engine must have, so an unanswered order can take effect only instead of the
 * next one, never in addition to it. A restart is the exception: the sequence starts again, and an old order may match
 * it a second time. What the orders would load that expect a later sequence than the engine has is therefore reserved;
 * at most one order for each sequence can take effect.
 *
 * Not thread-safe: confined to one thread.
 *
 * @param unanswered the orders to all engines that may still be executed
 */
public class EngineLedger(
    public val engine: UpstreamName,
    private val unanswered: UnansweredOrders = UnansweredOrders(),
) {
    private var startedAt: Long? = null

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
        if (startedAt != null && reading.startedAt != startedAt) resetAfterRestart()
        startedAt = reading.startedAt
        val known = sequence
        if (known != null && reading.sequence < known) return
        sequence = reading.sequence
        readAt = askedAt
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
        return SequencedOrder(engine, action, expected, fence).also { unanswered.onSent(it, now) }
    }

    /** Records [result] as the answer to [order], which was sent at [sentAt]. */
    public fun onResult(
        order: SequencedOrder,
        result: SequencedOrderResult,
        sentAt: Moment,
    ) {
        orderInFlight = false
        if (result !is SequencedOrderResult.Unknown) unanswered.onAnswered(order)
        when (result) {
            SequencedOrderResult.Accepted -> onAccepted(order, sentAt)
            SequencedOrderResult.AlreadyHolds -> residents = residents.after(order.action)
            is SequencedOrderResult.Invalid -> Unit
            SequencedOrderResult.OutOfStep, is SequencedOrderResult.StaleFence, is SequencedOrderResult.Unknown ->
                needsReading = true
        }
    }

    /** Clears what the engine is assumed to hold, such as after its restart. */
    public fun onRestart() {
        resetAfterRestart()
        startedAt = null
    }

    /** Returns the memory that is in use or may come to be used, in megabytes. */
    public fun committedMegabytes(
        fleet: EngineFleet,
        now: Moment,
    ): Double = useWithLateOrders(expectedContent, fleet, now).megabytes

    /** Returns whether [model] fits beside what is in use or may come to be used. */
    public fun hasRoomFor(
        model: ModelName,
        fleet: EngineFleet,
        now: Moment,
    ): Boolean {
        val content = expectedContent.after(ResidenceAction(ResidenceAction.Kind.LOAD, model))
        return useWithLateOrders(content, fleet, now).fits(fleet)
    }

    /** Returns whether a place for one more adapter is left beside those that late orders may take. */
    public fun hasAdapterPlace(
        fleet: EngineFleet,
        now: Moment,
    ): Boolean = useWithLateOrders(expectedContent, fleet, now).adapters < fleet.adapterSlots

    /** What the engine holds once the current load is complete. */
    private val expectedContent: EngineContent
        get() = loading?.let { residents.put(it, residents[it] ?: persistentSetOf()) } ?: residents

    private fun isAdmissible(
        action: ResidenceAction,
        fleet: EngineFleet,
        now: Moment,
    ): Boolean {
        if (action.model !in fleet.models) return false
        val content = expectedContent.after(action)
        val use = useWithLateOrders(content, fleet, now)
        return when (action.kind) {
            ResidenceAction.Kind.UNLOAD ->
                (!isChanging || action.adapter != null) && (use.fits(fleet) || use == useOf(content, fleet))
            ResidenceAction.Kind.LOAD ->
                if (action.adapter != null) {
                    action.model in residents && unloading != action.model && use.fits(fleet)
                } else {
                    !isChanging && action.model !in residents && use.fits(fleet)
                }
        }
    }

    /** Returns what [content] takes, with the unanswered orders that can follow the next order. */
    private fun useWithLateOrders(
        content: EngineContent,
        fleet: EngineFleet,
        now: Moment,
    ): EngineUse {
        val known = sequence ?: return useOf(content, fleet)
        return unanswered
            .at(engine, now)
            .filter { it.expectedSequence > known }
            .groupBy({ it.expectedSequence }, { addedUse(it.action, content, fleet) })
            .values
            .map { alternatives -> alternatives.reduce(EngineUse::largest) }
            .fold(useOf(content, fleet), EngineUse::plus)
    }

    private fun onAccepted(
        order: SequencedOrder,
        sentAt: Moment,
    ) {
        sequence = order.expectedSequence + 1
        val action = order.action
        when {
            action.adapter != null -> residents = residents.after(action)
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

    private fun resetAfterRestart() {
        sequence = null
        residents = persistentMapOf()
        loading = null
        unloading = null
        orderedAt = null
        isBusyWithUnknownOrder = false
        hostCopies = persistentSetOf()
        needsReading = true
    }

    private companion object {
        fun <K, V> PersistentMap<K, V>.mapValuesPersistent(transform: (K, V) -> V): PersistentMap<K, V> {
            val builder = builder()
            for ((key, value) in this) builder[key] = transform(key, value)
            return builder.build()
        }
    }
}
