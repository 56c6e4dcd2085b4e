package plantainturn.replay.policy

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.replay.world.OrderDesk
import plantainturn.replay.world.UpstreamStatus
import plantainturn.replay.world.Upstreams
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.PlacementState

/**
 * An operator's placement: a model that is asked for and held nowhere, or only where the engines are full, is loaded on
 * the least loaded upstream, and what was used least recently there makes room. One load of a model runs at a time.
 */
internal class OnDemandPlacement(
    private val configuration: Configuration,
    private val upstreams: Upstreams,
    private val desk: OrderDesk,
    private val timer: TimerService,
) : PlacementPolicy,
    MissingModelListener {
    private data class Copy(
        val model: ModelName,
        val upstream: Int,
    )

    private val lastUsed = HashMap<Copy, Moment>()
    private val wanted = LinkedHashMap<ModelName, UpstreamStatus>()

    override fun missing(model: ModelName) = want(model, fullToo = true)

    override fun saturated(model: ModelName) = want(model, fullToo = false)

    override fun used(
        model: ModelName,
        status: UpstreamStatus,
    ) {
        lastUsed[Copy(model, status.index)] = timer.now()
        configuration.adapters[model]?.let { lastUsed[Copy(it.baseModel, status.index)] = timer.now() }
    }

    override fun tick() {
        wanted.entries.removeAll { (model, status) -> !status.isUsable(timer.now()) || load(model, status) }
    }

    private fun want(
        model: ModelName,
        fullToo: Boolean,
    ) {
        if (model in wanted || isLoading(model)) return
        val target =
            upstreams.all
                .filter { it.isUsable(timer.now()) && desk.state(it, model) == null && canHold(model, it) }
                .filter { fullToo || it.reportedLoad < it.concurrency }
                .minByOrNull { it.reportedLoad }
        if (target == null) {
            configuration.adapters[model]?.let { want(it.baseModel, fullToo) }
            return
        }
        if (!load(model, target)) wanted[model] = target
    }

    private fun canHold(
        model: ModelName,
        status: UpstreamStatus,
    ): Boolean {
        val base = configuration.adapters[model]?.baseModel ?: return true
        return desk.state(status, base) == PlacementState.READY
    }

    private fun isLoading(model: ModelName): Boolean =
        upstreams.all.any { it.isUsable(timer.now()) && desk.state(it, model) == PlacementState.LOADING }

    /** Returns whether the load was ordered; otherwise room is being made for it. */
    private fun load(
        model: ModelName,
        status: UpstreamStatus,
    ): Boolean {
        if (!canHold(model, status)) return true
        if (desk.load(status, model)) {
            used(model, status)
            return true
        }
        makeRoom(model, status)
        return false
    }

    private fun makeRoom(
        model: ModelName,
        status: UpstreamStatus,
    ) {
        val states = desk.states(status)
        val leaving = states.filterValues { it == PlacementState.UNLOADING }.keys.sumOf(::megabytes)
        var missing = megabytes(model) - desk.freeMegabytes(status) - leaving
        val base = configuration.adapters[model]?.baseModel
        val idle =
            states.keys
                .filter { it in configuration.models && it != base && states[it] == PlacementState.READY }
                .sortedBy { lastUsed[Copy(it, status.index)] ?: Moment.ORIGIN }
        for (name in idle) {
            if (missing <= 0) return
            missing -= evict(name, status, states.keys)
        }
    }

    private fun evict(
        model: ModelName,
        status: UpstreamStatus,
        resident: Set<ModelName>,
    ): Long {
        val adapters = resident.filter { configuration.adapters[it]?.baseModel == model }
        val names = adapters + model
        names.forEach { desk.unload(status, it) }
        return names.sumOf(::megabytes)
    }

    private fun megabytes(name: ModelName): Long =
        configuration.models[name]?.memoryMegabytes ?: configuration.adapters.getValue(name).memoryMegabytes
}
