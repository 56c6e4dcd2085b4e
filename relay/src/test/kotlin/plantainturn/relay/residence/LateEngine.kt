package plantainturn.relay.residence

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.control.residence.EngineReading
import plantainturn.process.control.residence.ResidenceAction
import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.control.residence.SequencedOrderResult
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ModelName
import plantainturn.version.route.EngineFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An engine that leaves some orders unanswered and executes them late, and that may start again under its name.
 *
 * It executes an order only if it has accepted as many as the order expects, and does not check fences.
 */
internal class LateEngine(
    private val timer: TimerService,
    private val fleet: () -> EngineFleet,
) : EngineControl {
    private var isUp = true
    private var sequence = 0L

    /** Returns after which time an order is executed without an answer, null for an order that is answered. */
    var delayOf: (SequencedOrder) -> Duration? = { null }

    /** The number of the run, which tells its starts apart. */
    var run = 1L
        private set

    var content: PersistentMap<ModelName, PersistentSet<ModelName>> = persistentMapOf()

    /** What the engine would have held after each order that it had no room for. */
    val overfilled = ArrayList<PersistentMap<ModelName, PersistentSet<ModelName>>>()

    /** Orders that were left unanswered. */
    val late = ArrayList<SequencedOrder>()

    fun crash() {
        isUp = false
        content = persistentMapOf()
    }

    fun start() {
        isUp = true
        run++
        sequence = 0
    }

    override fun read(
        engine: UpstreamInstance,
        done: (EngineReading?, InstanceNotice) -> Unit,
    ) {
        timer.schedule(LATENCY) { done(if (isUp) reading() else null, InstanceNotice.NONE) }
    }

    override fun order(
        engine: UpstreamInstance,
        order: SequencedOrder,
        holder: String,
        done: (SequencedOrderResult, InstanceNotice) -> Unit,
    ) {
        val delay = delayOf(order)
        if (delay == null) {
            timer.schedule(LATENCY) { done(execute(order), InstanceNotice.NONE) }
        } else {
            late += order
            timer.schedule(TIMEOUT) { done(SequencedOrderResult.Unknown("no answer"), InstanceNotice.NONE) }
            timer.schedule(delay) { execute(order) }
        }
    }

    private fun reading() =
        EngineReading(
            startedAt = run,
            sequence = sequence,
            busy = false,
            residents = content,
            arrivingAdapters = persistentMapOf(),
            hostCopies = persistentSetOf(),
            diskCopies = persistentSetOf(),
        )

    private fun execute(order: SequencedOrder): SequencedOrderResult {
        val action = order.action
        val after = after(action)
        return when {
            !isUp -> SequencedOrderResult.Unknown("down")
            order.expectedSequence != sequence -> SequencedOrderResult.OutOfStep
            after == null -> SequencedOrderResult.Invalid("no such model")
            after == content -> SequencedOrderResult.AlreadyHolds
            else -> {
                sequence++
                if (fits(after)) {
                    content = after
                } else {
                    overfilled += after
                    crash()
                }
                SequencedOrderResult.Accepted
            }
        }
    }

    private fun after(action: ResidenceAction): PersistentMap<ModelName, PersistentSet<ModelName>>? {
        val adapter = action.adapter
        val adapters = content[action.model]
        val loads = action.kind == ResidenceAction.Kind.LOAD
        return when {
            adapter == null && loads -> content.put(action.model, adapters ?: persistentSetOf())
            adapter == null -> content.remove(action.model)
            adapters == null -> null
            else -> content.put(action.model, if (loads) adapters + adapter else adapters - adapter)
        }
    }

    private fun fits(content: PersistentMap<ModelName, PersistentSet<ModelName>>): Boolean =
        content.keys.sumOf { fleet().models.getValue(it).memoryMegabytes } <= fleet().weightMegabytes &&
            content.values.sumOf { it.size } <= fleet().adapterSlots

    private companion object {
        val LATENCY = 1.milliseconds
        val TIMEOUT = 500.milliseconds
    }
}
