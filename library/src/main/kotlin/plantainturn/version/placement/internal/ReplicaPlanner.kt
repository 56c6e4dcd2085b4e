package plantainturn.version.placement.internal

import plantainturn.version.configuration.Objective
import plantainturn.version.placement.PlannerSettings
import java.util.Locale
import kotlin.time.DurationUnit

/**
 * A replica that could be loaded beyond the floor.
 *
 * @property gain attained requests within the payback time, weighted, less the weighted cost of the moves
 */
internal class ReplicaOption(
    val model: BoardModel,
    val target: BoardUpstream,
    val victims: Victims,
    val gain: Double,
)

/** Loads replicas beyond the floor where upstreams are expected to carry more than meets the targets. */
internal class ReplicaPlanner(
    private val board: PlacementBoard,
    private val draft: MoveDraft,
    private val eviction: Eviction,
    private val estimate: LoadEstimate,
    private val objective: Objective,
    private val settings: PlannerSettings,
) {
    fun plan() {
        repeat(settings.replicaLoadsPerPlan) {
            val option = best() ?: return
            if (!carryOut(option)) return
        }
    }

    private fun carryOut(option: ReplicaOption): Boolean {
        val reason = "Overload of its copies is worth a replica (gain ${"%.1f".format(Locale.ROOT, option.gain)})."
        option.victims.models.forEach {
            draft.unload(it, option.target, "Makes room for a replica of ${option.model.name}.")
            estimate.update(it)
        }
        val begins = draft.loadReplica(option.model, option.target, reason)
        estimate.update(option.model)
        return begins || option.victims.moves > 0
    }

    private fun best(): ReplicaOption? {
        val hot =
            board.usable
                .filter { it.overflow > 0 }
                .sortedBy { -it.overflow }
                .take(HOT_UPSTREAMS)
        val models = hot.flatMapTo(LinkedHashSet()) { upstream -> modelsOn(upstream) }
        val cool =
            board.orderable
                .filter { it.headroom > 0 }
                .sortedBy { it.utilisation }
                .take(COOL_UPSTREAMS)
        return models
            .flatMap { model -> cool.mapNotNull { option(model, it) } }
            .maxWithOrNull(
                compareBy<ReplicaOption> { it.gain }.thenByDescending { it.model.name }.thenByDescending { it.target },
            )
    }

    private fun modelsOn(upstream: BoardUpstream): List<BoardModel> =
        upstream.states.keys
            .mapNotNull { board.find(it) }
            .filter { it.baseModel == null && estimate.share(it, upstream) > 0 }

    private fun option(
        model: BoardModel,
        target: BoardUpstream,
    ): ReplicaOption? {
        if (target.has(model) || target in model.live) return null
        val relief = minOf(target.headroom, model.live.sumOf { minOf(it.overflow, estimate.share(model, it)) })
        if (relief <= 0) return null
        val victims = victims(model, target) ?: return null
        val gain = worth(relief - victims.lostTokensPerSecond, model) - settings.hysteresis * cost(victims)
        return if (gain > 0) ReplicaOption(model, target, victims, gain) else null
    }

    private fun victims(
        model: BoardModel,
        target: BoardUpstream,
    ): Victims? =
        when {
            target.fits(model.groupMegabytes) -> Victims.NONE
            target.willFit(model.groupMegabytes) -> Victims.NONE
            else -> eviction.settledSurplus(target, model.groupMegabytes)
        }

    private fun worth(
        tokensPerSecond: Double,
        model: BoardModel,
    ): Double {
        val requestsPerSecond = tokensPerSecond / model.tokensPerRequest
        return objective.attainmentWeight * requestsPerSecond * settings.paybackTime.toDouble(DurationUnit.SECONDS)
    }

    private fun cost(victims: Victims): Double = objective.moveWeight * (LOAD_AND_LATER_UNLOAD + victims.moves)

    private companion object {
        const val HOT_UPSTREAMS = 16
        const val COOL_UPSTREAMS = 24
        const val LOAD_AND_LATER_UNLOAD = 2
    }
}
