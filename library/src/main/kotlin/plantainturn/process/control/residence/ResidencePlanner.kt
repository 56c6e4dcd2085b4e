package plantainturn.process.control.residence

import plantainturn.process.control.residence.internal.ResidenceNeed
import plantainturn.process.control.residence.internal.ResidenceWorth
import plantainturn.version.configuration.ModelName
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.ServedModel
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Decides which base models engines should load or unload, one step at a time.
 *
 * It handles these load patterns:
 * - Demand shifts to other models while all engines are full: models without demand are evicted, on the engine that
 *   can load the wanted model soonest.
 * - Rare models are requested at the same time: each gets one copy before any gets two.
 * - A crash removes three models: they are loaded again where a copy is on disk or in host memory, the one with the
 *   most demand first.
 * - Models together overload one engine: one of them gets another copy on an idle engine, in place of a model without
 *   demand.
 * - Demand shifts while engines load: slow loads of rare models leave most engines available.
 *
 * A second copy for protection only uses free memory, so that two models do not keep replacing each other. The planner
 * keeps no state, and equal inputs give equal moves.
 */
public class ResidencePlanner(
    private val settings: ResidenceSettings = ResidenceSettings(),
) {
    /** Returns the moves to begin now, at most one per engine. */
    public fun plan(input: ResidenceInput): List<ResidenceMove> = Draft(input).moves()

    private inner class Draft(
        private val input: ResidenceInput,
    ) {
        private val fleet: EngineFleet = input.fleet
        private val moves = ArrayList<ResidenceMove>()
        private val availableEngines = input.engines.filter { it.acceptsOrders }.toMutableList()
        private val worth = ResidenceWorth(input, settings)
        private var storeLoadsLeft = input.storeLoadsLeft

        fun moves(): List<ResidenceMove> {
            missing().forEach { place(it, ResidenceNeed.MISSING) }
            overloaded().forEach { place(it, ResidenceNeed.OVERLOADED) }
            unprotected().forEach { place(it, ResidenceNeed.UNPROTECTED) }
            return moves
        }

        private fun missing(): List<ServedModel> =
            fleet.models.values
                .filter { worth.copiesOf(it.name) == 0 }
                .sortedWith(compareBy({ -worth.unservedWorthOf(it.name) }, { it.name }))

        private fun overloaded(): List<ServedModel> =
            fleet.models.values
                .filter { worth.copiesOf(it.name) > 0 && worth.engineShareOf(it.name) >= settings.relievableShare }
                .filter { worth.leastUtilisation(it.name) > settings.overloadUtilisation }
                .sortedWith(
                    compareBy({ -worth.pressure(it.name).worthPerSecond * worth.lostShareOf(it.name) }, { it.name }),
                )

        private fun unprotected(): List<ServedModel> =
            fleet.models.values
                .filter {
                    worth.copiesOf(it.name) == 1 &&
                        worth.pressure(it.name).worthPerSecond >= settings.protectedWorth
                }.sortedWith(compareBy({ -worth.pressure(it.name).worthPerSecond }, { it.name }))

        private fun place(
            model: ServedModel,
            need: ResidenceNeed,
        ) {
            val choice = availableEngines.mapNotNull { candidate(it, model, need) }.minByOrNull { it.cost } ?: return
            if (choice.load > settings.slowLoadThreshold && !isUrgent(model, need) && !mostEnginesAreAvailable()) return
            availableEngines.remove(choice.engine)
            if (choice.fromStore) storeLoadsLeft--
            val victim = choice.victim
            if (victim == null) {
                val action = ResidenceAction(ResidenceAction.Kind.LOAD, model.name)
                moves += ResidenceMove(choice.engine.name, action, need.reason(model.name), choice.fromStore)
            } else {
                val action = ResidenceAction(ResidenceAction.Kind.UNLOAD, victim)
                moves +=
                    ResidenceMove(
                        choice.engine.name,
                        action,
                        "${need.reason(model.name)}, in place of $victim",
                        wanted = model.name,
                    )
                worth.removeCopy(victim)
            }
            worth.addCopy(model.name)
        }

        /** An engine can't cancel a slow load, so one for a rare model may keep out a model in high demand. */
        private fun isUrgent(
            model: ServedModel,
            need: ResidenceNeed,
        ): Boolean =
            need == ResidenceNeed.OVERLOADED ||
                need == ResidenceNeed.MISSING &&
                worth.pressure(model.name).worthPerSecond >= worth.idleModelWorth

        private fun mostEnginesAreAvailable(): Boolean = availableEngines.size * 2 > input.engines.size

        private fun candidate(
            engine: EngineSnapshot,
            model: ServedModel,
            need: ResidenceNeed,
        ): Candidate? {
            if (model.name in engine.expectedResidents) return null
            val fromStore = model.name !in engine.hostCopies && model.name !in engine.diskCopies
            if (fromStore && storeLoadsLeft <= 0) return null
            val load = loadTime(engine, model)
            val room = hasRoom(engine, model)
            val victim = if (room) null else victimAt(engine, model, need, load)
            val isWorthLoad =
                need != ResidenceNeed.OVERLOADED || worth.gainOf(model.name, need, engine, null) > worth.costOf(load)
            if (victim == null && !(room && isWorthLoad)) return null
            val cost =
                load.toDouble(DurationUnit.SECONDS) * (settings.loadSecondCost + worth.blockedAdapterWorth(engine)) +
                    worth.utilisation(engine) * settings.utilisationCost +
                    (victim?.let { worth.pressure(it).worthPerSecond } ?: 0.0)
            return Candidate(engine, victim, fromStore, load, cost)
        }

        /** Returns the resident model with the smallest loss that may be evicted for [model], null if there is none. */
        private fun victimAt(
            engine: EngineSnapshot,
            model: ServedModel,
            need: ResidenceNeed,
            load: Duration,
        ): ModelName? =
            engine.residents
                .filter { it != engine.unloading && mayEvict(engine, it, model, need, load) }
                .minWithOrNull(compareBy({ worth.lossOf(it) }, { it }))

        private fun mayEvict(
            engine: EngineSnapshot,
            resident: ModelName,
            wanted: ServedModel,
            need: ResidenceNeed,
            load: Duration,
        ): Boolean {
            val since = engine.residentSince[resident]
            val minimumStay =
                maxOf(
                    settings.minimumResidence,
                    (fleet.models[resident]?.coldLoad ?: Duration.ZERO) * settings.residencePerLoad,
                )
            if (since != null && input.now - since < minimumStay) return false
            val isWaitedFor = need == ResidenceNeed.MISSING && worth.pressure(wanted.name).waiting > 0
            val isIdle = worth.pressure(resident).worthPerSecond < worth.idleModelWorth
            val skipsHysteresis =
                worth.copiesOf(resident) > 1 || isWaitedFor && (isIdle || load <= settings.slowLoadThreshold)
            val factor = if (skipsHysteresis) 1.0 else settings.hysteresisFactor
            val cost = if (need == ResidenceNeed.OVERLOADED) worth.costOf(load) else 0.0
            return worth.lossOf(resident) * factor + cost < worth.gainOf(wanted.name, need, engine, resident)
        }

        private fun hasRoom(
            engine: EngineSnapshot,
            model: ServedModel,
        ): Boolean = engine.committedMegabytes + model.memoryMegabytes <= fleet.weightMegabytes - adapterReserve()

        /** Room for adapters in all places is kept free, so that a full engine can still load them. */
        private fun adapterReserve(): Double =
            fleet.adapterSlots * (fleet.models.values.maxOfOrNull { it.adapterMegabytes } ?: 0.0)

        private fun loadTime(
            engine: EngineSnapshot,
            model: ServedModel,
        ): Duration =
            when (model.name) {
                in engine.hostCopies -> model.hostLoad
                in engine.diskCopies -> model.diskLoad
                else -> model.coldLoad
            }
    }

    private class Candidate(
        val engine: EngineSnapshot,
        val victim: ModelName?,
        val fromStore: Boolean,
        val load: Duration,
        val cost: Double,
    )
}
