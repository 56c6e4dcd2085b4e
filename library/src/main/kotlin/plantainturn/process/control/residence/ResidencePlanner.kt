package plantainturn.process.control.residence

import kotlinx.collections.immutable.toPersistentList
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
 * - Models differ in size: several small ones make way for a large one, and a small one alone does not.
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

        /** Room for adapters in all places is kept free, so that a full engine can still load them. */
        private val adapterReserve =
            fleet.adapterSlots * (fleet.models.values.maxOfOrNull { it.adapterMegabytes } ?: 0.0)

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
            val victims = choice.victims
            if (victims.isEmpty()) {
                val action = ResidenceAction(ResidenceAction.Kind.LOAD, model.name)
                moves += ResidenceMove(choice.engine.name, action, need.reason(model.name), choice.fromStore)
            } else {
                val action = ResidenceAction(ResidenceAction.Kind.UNLOAD, victims.first())
                moves +=
                    ResidenceMove(
                        choice.engine.name,
                        action,
                        "${need.reason(model.name)}, in place of ${victims.joinToString(" and ")}",
                        wanted = model.name,
                        furtherVictims = victims.drop(1).toPersistentList(),
                    )
                victims.forEach(worth::removeCopy)
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
            val victims = if (room) emptyList() else victimsAt(engine, model, need, load)
            val isWorthLoad =
                need != ResidenceNeed.OVERLOADED || worth.gainOf(model.name, need, engine, null) > worth.costOf(load)
            if (victims.isEmpty() && !(room && isWorthLoad)) return null
            val cost =
                load.toDouble(DurationUnit.SECONDS) * (settings.loadSecondCost + worth.blockedAdapterWorth(engine)) +
                    worth.utilisation(engine) * settings.utilisationCost +
                    victims.sumOf { worth.pressure(it).worthPerSecond }
            return Candidate(engine, victims, fromStore, load, cost)
        }

        /**
         * Returns the resident models to evict for [model], empty if none may be evicted or that makes no room.
         *
         * One model that is large enough goes before several smaller ones; several make way only for a model that no
         * engine holds.
         */
        private fun victimsAt(
            engine: EngineSnapshot,
            model: ServedModel,
            need: ResidenceNeed,
            load: Duration,
        ): List<ModelName> {
            val evictable =
                engine.residents
                    .filter { it !in engine.unloading && mayEvict(engine, listOf(it), model, need, load) }
                    .sortedWith(compareBy({ worth.lossOf(it) }, { it }))
            val single = evictable.firstOrNull { hasRoom(engine, model, listOf(it)) }
            if (single != null) return listOf(single)
            if (need != ResidenceNeed.MISSING || !hasRoom(engine, model, evictable)) return emptyList()
            val several = evictable.toMutableList()
            for (mostValuable in evictable.reversed()) {
                if (hasRoom(engine, model, several - mostValuable)) several -= mostValuable
            }
            return several.takeIf { mayEvict(engine, it, model, need, load) }.orEmpty()
        }

        private fun mayEvict(
            engine: EngineSnapshot,
            victims: List<ModelName>,
            wanted: ServedModel,
            need: ResidenceNeed,
            load: Duration,
        ): Boolean {
            if (victims.any { isYoung(engine, it) }) return false
            val isWaitedFor = need == ResidenceNeed.MISSING && worth.pressure(wanted.name).waiting > 0
            val loss =
                victims.sumOf {
                    val isIdle = worth.pressure(it).worthPerSecond < worth.idleModelWorth
                    val skipsHysteresis =
                        worth.copiesOf(it) > 1 || isWaitedFor && (isIdle || load <= settings.slowLoadThreshold)
                    worth.lossOf(it) * if (skipsHysteresis) 1.0 else settings.hysteresisFactor
                }
            val cost = if (need == ResidenceNeed.OVERLOADED) worth.costOf(load) else 0.0
            return loss + cost < worth.gainOf(wanted.name, need, engine, victims.first())
        }

        private fun isYoung(
            engine: EngineSnapshot,
            resident: ModelName,
        ): Boolean {
            val since = engine.residentSince[resident] ?: return false
            val minimumStay =
                maxOf(
                    settings.minimumResidence,
                    (fleet.models[resident]?.coldLoad ?: Duration.ZERO) * settings.residencePerLoad,
                )
            return input.now - since < minimumStay
        }

        /** Models differ in size, so that a smaller one in place of a larger one does not always make room. */
        private fun hasRoom(
            engine: EngineSnapshot,
            model: ServedModel,
            victims: List<ModelName> = emptyList(),
        ): Boolean {
            val freed = victims.sumOf { fleet.models[it]?.memoryMegabytes ?: 0.0 }
            return engine.committedMegabytes - freed + model.memoryMegabytes <=
                fleet.weightMegabytes - adapterReserve
        }

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
        val victims: List<ModelName>,
        val fromStore: Boolean,
        val load: Duration,
        val cost: Double,
    )
}
