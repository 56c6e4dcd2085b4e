package plantainturn.process.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.CacheEvent
import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.engine.EngineRole
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.engine.ModelEngine
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.engine.OrderResult
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.connection.engine.TokenReceiver
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What happens to one call that sends an order. */
enum class OrderFate { DELIVERED, LOST, ANSWER_LOST, LATE, DUPLICATED }

/**
 * A fake engine that tracks its actual memory use and records each load that exceeds its capacity.
 *
 * It applies an order once per incarnation. A restart clears all state, including the highest fence. Delayed orders of
 * a superseded fence are dropped if the engine has restarted since they were sent.
 */
class FakeEngine(
    private val timer: VirtualTimerService,
    private val capacityMegabytes: Long,
    private val refusesOldFences: Boolean,
    private val loadDuration: Duration = 800.milliseconds,
    private val unloadDuration: Duration = 300.milliseconds,
) : ModelEngine {
    private class Snapshot(
        val at: Moment,
        val report: EngineReport,
    )

    private var incarnation = 1
    private var highestFence = FenceNumber.NONE
    private var role = EngineRole.MIXED
    private val residents = LinkedHashMap<Pair<ModelName, String>, Resident>()
    private val receivedOrders = mutableSetOf<OrderIdentifier>()
    private val applied = mutableListOf<OrderIdentifier>()
    private val snapshots = mutableListOf<Snapshot>()

    /** One line for each load that exceeded the capacity. */
    val overcommits = mutableListOf<String>()

    /** Orders in the order in which they took effect. */
    val executedOrders = mutableListOf<EngineOrder>()

    /** Returns what happens to the next order. */
    var fate: (EngineOrder) -> OrderFate = { OrderFate.DELIVERED }

    /** Returns how late a [OrderFate.LATE] or [OrderFate.DUPLICATED] order arrives. */
    var delay: () -> Duration = { 2.seconds }

    /** Returns how old the state in the next report is. */
    var reportLag: () -> Duration = { Duration.ZERO }

    /** Whether requests for a report go unanswered. */
    var silent: Boolean = false

    /** Called when an order is about to be sent, before [fate]. */
    var beforeOrder: (EngineOrder) -> Unit = {}

    init {
        record()
    }

    val usedMegabytes: Long
        get() = residents.values.sumOf { it.memoryMegabytes }

    fun isReady(name: ModelName): Boolean = residents.values.any { it.name == name && it.state == ResidentState.READY }

    fun versionsOf(name: ModelName): List<String> =
        residents.values.filter { it.name == name }.map { it.weightsVersion }

    fun restart() {
        incarnation++
        highestFence = FenceNumber.NONE
        residents.clear()
        receivedOrders.clear()
        applied.clear()
        snapshots.clear()
        record()
    }

    override fun order(order: EngineOrder): OrderResult {
        beforeOrder(order)
        return when (fate(order)) {
            OrderFate.DELIVERED -> deliver(order)
            OrderFate.LOST -> OrderResult.Unknown("lost")
            OrderFate.ANSWER_LOST -> OrderResult.Unknown("answer lost after ${deliver(order)}")
            OrderFate.LATE -> deliverLater(order)
            OrderFate.DUPLICATED -> deliver(order).also { deliverLater(order) }
        }
    }

    override fun report(): EngineReportResult {
        if (silent) return EngineReportResult.Unavailable("silent")
        val asOf = timer.now() - reportLag()
        val snapshot = snapshots.lastOrNull { it.at <= asOf } ?: snapshots.first()
        val shown = maxOf(asOf, snapshot.at)
        val age = (timer.now() - shown).inWholeMilliseconds
        return EngineReportResult.Reported(
            snapshot.report.copy(sequence = shown.nanoseconds, ageMilliseconds = age),
        )
    }

    private fun deliverLater(order: EngineOrder): OrderResult {
        val sentTo = incarnation
        val supersededThen = { refusesOldFences && incarnation != sentTo && order.identifier.fence < highestFenceEver }
        timer.schedule(delay()) { if (!supersededThen()) deliver(order) }
        return OrderResult.Unknown("late")
    }

    /** The highest fence over all incarnations. */
    private var highestFenceEver = FenceNumber.NONE

    private fun deliver(order: EngineOrder): OrderResult {
        if (refusesOldFences && order.identifier.fence < highestFence) return OrderResult.StaleFence(highestFence)
        highestFence = maxOf(highestFence, order.identifier.fence)
        highestFenceEver = maxOf(highestFenceEver, highestFence)
        if (receivedOrders.add(order.identifier)) execute(order)
        record()
        return OrderResult.Accepted
    }

    private fun execute(order: EngineOrder) {
        executedOrders += order
        when (val action = order.action) {
            is EngineAction.LoadModel ->
                load(
                    order,
                    Resident(action.model, action.weightsVersion, action.memoryMegabytes, ResidentState.LOADING),
                )
            is EngineAction.LoadAdapter ->
                load(
                    order,
                    Resident(
                        action.adapter,
                        action.weightsVersion,
                        action.memoryMegabytes,
                        ResidentState.LOADING,
                        action.baseModel,
                    ),
                )
            is EngineAction.Unload -> unload(order, action.name)
            is EngineAction.ChangeRole -> {
                role = action.role
                applied += order.identifier
            }
            EngineAction.Barrier -> applied += order.identifier
        }
    }

    private fun load(
        order: EngineOrder,
        resident: Resident,
    ) {
        val key = resident.name to resident.weightsVersion
        if (key !in residents) residents[key] = resident
        if (usedMegabytes > capacityMegabytes) {
            overcommits += "$usedMegabytes of $capacityMegabytes MB at ${timer.now()} by $order with ${residents.keys}"
        }
        afterInSameIncarnation(loadDuration) {
            val loaded = residents[key]
            if (loaded?.state == ResidentState.LOADING) becomeReady(loaded)
            applied += order.identifier
        }
    }

    /** Marks the new version as ready and removes the other versions. */
    private fun becomeReady(loaded: Resident) {
        residents.keys.removeAll { it.first == loaded.name && it.second != loaded.weightsVersion }
        residents[loaded.name to loaded.weightsVersion] = loaded.copy(state = ResidentState.READY)
    }

    private fun unload(
        order: EngineOrder,
        name: ModelName,
    ) {
        val keys = residents.keys.filter { it.first == name }
        keys.forEach { key ->
            residents.computeIfPresent(key) { _, held -> held.copy(state = ResidentState.UNLOADING) }
        }
        afterInSameIncarnation(unloadDuration) {
            keys.forEach(residents::remove)
            applied += order.identifier
        }
    }

    private fun afterInSameIncarnation(
        duration: Duration,
        effect: () -> Unit,
    ) {
        val startedIn = incarnation
        timer.schedule(duration) {
            if (incarnation == startedIn) {
                effect()
                record()
            }
        }
    }

    private fun record() {
        val report =
            EngineReport(
                incarnation = "run-$incarnation",
                sequence = 0,
                ageMilliseconds = 0,
                highestFence = highestFence,
                appliedOrders = applied.takeLast(APPLIED_KEPT).toPersistentList(),
                residents = residents.values.toPersistentList(),
                role = role,
            )
        snapshots += Snapshot(timer.now(), report)
        if (snapshots.size > SNAPSHOTS_KEPT) snapshots.removeAt(0)
    }

    override fun generate(
        request: GenerationRequest,
        silenceLimit: Duration,
        receiver: TokenReceiver,
    ): GenerationEnd = GenerationEnd.RefusedNotRun("not a part of this fake")

    override fun cancel(
        request: RequestIdentifier,
        attempt: AttemptNumber,
    ) = Unit

    override fun cacheEvents(from: Long): PersistentList<CacheEvent> = persistentListOf()

    private companion object {
        const val APPLIED_KEPT = 16
        const val SNAPSHOTS_KEPT = 200
    }
}
