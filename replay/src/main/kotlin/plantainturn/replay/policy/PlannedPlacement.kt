package plantainturn.replay.policy

import kotlinx.collections.immutable.toPersistentMap
import plantainturn.process.time.TimerService
import plantainturn.replay.world.DemandMeter
import plantainturn.replay.world.OrderDesk
import plantainturn.replay.world.UpstreamStatus
import plantainturn.replay.world.Upstreams
import plantainturn.version.configuration.Configuration
import plantainturn.version.placement.PlacementMove
import plantainturn.version.placement.PlannedUpstream
import plantainturn.version.placement.Planner
import plantainturn.version.placement.PlanningInput

/** The product's placement: carries out what a [Planner] decides. */
internal class PlannedPlacement(
    private val planner: Planner,
    private val configuration: Configuration,
    private val upstreams: Upstreams,
    private val desk: OrderDesk,
    private val demand: DemandMeter,
    private val timer: TimerService,
) : PlacementPolicy {
    override fun tick() {
        planner.plan(input()).moves.forEach(::carryOut)
    }

    private fun input(): PlanningInput =
        PlanningInput(
            now = timer.now(),
            configuration = configuration,
            upstreams = upstreams.all.associate { it.engine.name to planned(it) }.toPersistentMap(),
            demand = demand.demand(),
        )

    private fun planned(status: UpstreamStatus): PlannedUpstream {
        val specification = status.engine.specification
        return PlannedUpstream(
            failureDomain = specification.failureDomain,
            accelerators = specification.accelerators,
            capacityMegabytes = specification.weightCapacityMegabytes,
            freeMegabytes = desk.freeMegabytes(status),
            concurrency = specification.concurrency,
            usable = status.isUsable(timer.now()),
            placements = desk.states(status).toPersistentMap(),
            acceptsOrders = desk.acceptsOrders(status),
        )
    }

    private fun carryOut(move: PlacementMove) {
        val status = upstreams.find(move.upstream)
        when (move) {
            is PlacementMove.Load -> desk.load(status, move.name)
            is PlacementMove.Unload -> desk.unload(status, move.name)
            is PlacementMove.ChangeRole -> Unit
        }
    }
}
