package plantainturn.standins.internal

import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineRole
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.standins.EngineStandInSettings
import plantainturn.version.configuration.ModelName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * What is resident on an engine, under its own lock.
 *
 * Several versions of a model can be resident at once, each with its own memory; the last one to become ready takes
 * the requests, and the others leave when their requests have ended.
 */
internal class EngineMemory(
    private val settings: EngineStandInSettings,
    private val loader: WeightLoader,
) {
    private val lock = ReentrantLock()
    private val held = mutableListOf<HeldWeights>()
    private var epoch = 0
    private var role = EngineRole.MIXED
    private var overcommits = 0L
    private var mostMegabytes = 0L
    private var moves = 0L

    init {
        restart()
    }

    /** Forgets all, as a new process would, and takes in what the settings name. */
    fun restart() {
        lock.withLock {
            epoch++
            held.clear()
            role = EngineRole.MIXED
            settings.residents.forEach { held += HeldWeights(it.copy(state = ResidentState.READY)) }
            checkMemory()
        }
    }

    fun snapshot(): EngineMemorySnapshot =
        lock.withLock {
            EngineMemorySnapshot(held.map { it.resident }, role, usedMegabytes(), overcommits, mostMegabytes, moves)
        }

    /** Takes the ready weights of [name] into use, or returns null if there are none. */
    fun acquire(name: ModelName): HeldWeights? =
        lock.withLock {
            held
                .lastOrNull { it.resident.name == name && it.resident.state == ResidentState.READY }
                ?.also { it.users++ }
        }

    /** Ends a use of [weights]. */
    fun release(weights: HeldWeights) {
        val finished =
            lock.withLock {
                weights.users--
                removeIdleUnloading()
            }
        finished.forEach { it() }
    }

    /** Begins [action]; [done] is told whether it took effect, once that is so or can never be. */
    fun apply(
        action: EngineAction,
        done: (Boolean) -> Unit,
    ) {
        when (action) {
            is EngineAction.LoadModel -> load(resident(action), adapter = false, done)
            is EngineAction.LoadAdapter -> loadAdapter(action, done)
            is EngineAction.Unload -> unload(action.name, done)
            is EngineAction.ChangeRole -> changeRole(action.role, done)
            is EngineAction.Barrier -> done(true)
        }
    }

    private fun loadAdapter(
        action: EngineAction.LoadAdapter,
        done: (Boolean) -> Unit,
    ) {
        val baseReady =
            lock.withLock {
                held.any { it.resident.name == action.baseModel && it.resident.state == ResidentState.READY }
            }
        if (baseReady) load(resident(action), adapter = true, done) else done(false)
    }

    private fun load(
        wanted: Resident,
        adapter: Boolean,
        done: (Boolean) -> Unit,
    ) {
        val startedIn: Int
        lock.withLock {
            val present = find(wanted)
            if (present != null) {
                if (present.resident.state == ResidentState.UNLOADING) present.state(ResidentState.READY)
                startedIn = ALREADY_PRESENT
            } else {
                held += HeldWeights(wanted)
                moves++
                checkMemory()
                startedIn = epoch
            }
        }
        if (startedIn == ALREADY_PRESENT) {
            done(true)
        } else {
            loader.load(wanted, adapter) { finishLoad(wanted, startedIn, done) }
        }
    }

    private fun finishLoad(
        wanted: Resident,
        startedIn: Int,
        done: (Boolean) -> Unit,
    ) {
        val finished: List<() -> Unit>
        val took: Boolean
        lock.withLock {
            val loaded = if (epoch == startedIn) find(wanted) else null
            took = loaded?.resident?.state == ResidentState.LOADING
            if (took) {
                held
                    .filter { it.resident.name == wanted.name && it !== loaded }
                    .forEach { it.state(ResidentState.UNLOADING) }
                loaded?.state(ResidentState.READY)
            }
            finished = removeIdleUnloading()
        }
        finished.forEach { it() }
        done(took)
    }

    /** Unloads a model with its adapters, or an adapter. */
    private fun unload(
        name: ModelName,
        done: (Boolean) -> Unit,
    ) {
        val finished =
            lock.withLock {
                val going = held.filter { it.resident.name == name || it.resident.baseModel == name }
                if (going.isNotEmpty()) moves++
                going.forEach { it.state(ResidentState.UNLOADING) }
                val last = going.maxByOrNull { it.users }
                if (last != null) last.whenRemoved += { done(true) }
                removeIdleUnloading() + if (last == null) listOf({ done(true) }) else emptyList()
            }
        finished.forEach { it() }
    }

    private fun changeRole(
        wanted: EngineRole,
        done: (Boolean) -> Unit,
    ) {
        lock.withLock {
            if (role != wanted) moves++
            role = wanted
        }
        done(true)
    }

    private fun removeIdleUnloading(): List<() -> Unit> {
        val idle = held.filter { it.resident.state == ResidentState.UNLOADING && it.users == 0 }
        held.removeAll(idle)
        return idle.flatMap { it.whenRemoved }
    }

    private fun find(wanted: Resident): HeldWeights? =
        held.firstOrNull {
            it.resident.name == wanted.name && it.resident.weightsVersion == wanted.weightsVersion
        }

    private fun usedMegabytes(): Long = held.sumOf { it.resident.memoryMegabytes }

    private fun checkMemory() {
        val used = usedMegabytes()
        mostMegabytes = maxOf(mostMegabytes, used)
        if (used + settings.cacheReserveMegabytes > settings.memoryMegabytes) overcommits++
    }

    private fun resident(action: EngineAction.LoadModel): Resident =
        Resident(action.model, action.weightsVersion, action.memoryMegabytes, ResidentState.LOADING)

    private fun resident(action: EngineAction.LoadAdapter): Resident =
        Resident(
            action.adapter,
            action.weightsVersion,
            action.memoryMegabytes,
            ResidentState.LOADING,
            action.baseModel,
        )

    private companion object {
        const val ALREADY_PRESENT = -1
    }
}

/** Weights in an engine's memory; guarded by the lock of [EngineMemory]. */
internal class HeldWeights(
    var resident: Resident,
) {
    var users = 0
    val whenRemoved = mutableListOf<() -> Unit>()

    fun state(state: ResidentState) {
        resident = resident.copy(state = state)
    }
}

/** A consistent view of [EngineMemory]. */
internal class EngineMemorySnapshot(
    val residents: List<Resident>,
    val role: EngineRole,
    val usedMegabytes: Long,
    val overcommits: Long,
    val mostMegabytes: Long,
    val moves: Long,
)
