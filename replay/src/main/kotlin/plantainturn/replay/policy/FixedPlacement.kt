package plantainturn.replay.policy

import plantainturn.process.time.TimerService
import plantainturn.replay.deployment.InitialPlacement
import plantainturn.replay.world.OrderDesk
import plantainturn.replay.world.UpstreamStatus
import plantainturn.replay.world.Upstreams
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.PlacementState

/** A placement that never changes: an upstream that comes back empty loads what it had at the start. */
internal class FixedPlacement(
    private val configuration: Configuration,
    private val initial: InitialPlacement,
    private val upstreams: Upstreams,
    private val desk: OrderDesk,
    private val timer: TimerService,
) : PlacementPolicy {
    override fun tick() {
        upstreams.all.filter { it.isUsable(timer.now()) }.forEach(::restore)
    }

    private fun restore(status: UpstreamStatus) {
        initial.models.getValue(status.engine.name).forEach { model ->
            when (desk.state(status, model)) {
                null -> desk.load(status, model)
                PlacementState.READY -> restoreAdapters(model, status)
                else -> Unit
            }
        }
    }

    private fun restoreAdapters(
        model: ModelName,
        status: UpstreamStatus,
    ) {
        configuration.adapters.forEach { (name, adapter) -> if (adapter.baseModel == model) desk.load(status, name) }
    }
}
