package plantainturn.version.placement

import kotlinx.collections.immutable.toPersistentList
import plantainturn.version.placement.internal.AdapterPlanner
import plantainturn.version.placement.internal.Eviction
import plantainturn.version.placement.internal.FloorPlanner
import plantainturn.version.placement.internal.LoadBudget
import plantainturn.version.placement.internal.LoadEstimate
import plantainturn.version.placement.internal.LoadRate
import plantainturn.version.placement.internal.MoveDraft
import plantainturn.version.placement.internal.PlacementBoard
import plantainturn.version.placement.internal.ReplicaPlanner
import plantainturn.version.placement.internal.ResidenceHistory
import plantainturn.version.placement.internal.explain

/**
 * Plans a floor of residence first, then replicas by demand.
 *
 * The floor is one ready upstream for each model and adapter, and two in different failure domains wherever memory
 * allows. A replica beyond the floor is loaded when the requests it is expected to bring back into their targets,
 * weighted by the objective, exceed what its moves cost. Nothing is unloaded except to make room for something else.
 *
 * It remembers when it began loads and how long replicas have been resident, so one instance must be given the
 * successive inputs of one shard. A new instance starts safely with a full residence time and one load in hand. Not
 * safe for use by several threads.
 */
public class DemandPlanner(
    private val settings: PlannerSettings = PlannerSettings(),
) : Planner {
    private val history = ResidenceHistory(settings.minimumResidence)
    private val rate = LoadRate()

    override fun plan(input: PlanningInput): PlacementPlan {
        val board = PlacementBoard.of(input, settings)
        history.observe(board, input.now)
        val limits = input.configuration.weightStore
        rate.advance(input.now, limits)
        val budget = LoadBudget(limits, rate, board)
        val draft = MoveDraft(budget)
        val estimate = LoadEstimate(board)
        val eviction = Eviction(board, estimate, history, input.now)
        draft.dropUnknown(board)
        FloorPlanner(board, draft, eviction, estimate).plan()
        AdapterPlanner(board, draft, eviction, input.configuration.objective, settings).plan()
        ReplicaPlanner(board, draft, eviction, estimate, input.configuration.objective, settings).plan()
        return PlacementPlan(draft.moves.toPersistentList(), explain(board))
    }
}
