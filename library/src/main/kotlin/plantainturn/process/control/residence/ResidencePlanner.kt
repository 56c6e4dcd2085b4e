package plantainturn.process.control.residence

import plantainturn.version.configuration.ModelName
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.ServedModel
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Decides which base models engines should take in or drop, one step at a time.
 *
 * Load patterns that it answers: demand that moves to other models while all places are taken (the models that fell
 * silent make way, at the engine that can take the wanted one in soonest); rare models asked for at once (each gets one
 * copy before any gets two); a crash that takes three models with it (they come back where a copy lies on disk or in
 * host memory, the most wanted first); models that are together more than one engine can bear (a further copy of one
 * of them at an idle engine, in place of a silent model); demand that moves while engines load (slow loads of rare models
 * leave most engines free). A second copy for safety takes only room that is free, so that two models never take turns.
 * It keeps no state, and equal inputs give equal moves.
 */
public class ResidencePlanner(
    private val settings: ResidenceSettings = ResidenceSettings(),
) {
    /** Returns the moves to begin now, at most one for each engine. */
    public fun plan(input: ResidenceInput): List<ResidenceMove> = Draft(input).moves()

    private inner class Draft(
        private val input: ResidenceInput,
    ) {
        private val fleet: EngineFleet = input.fleet
        private val moves = ArrayList<ResidenceMove>()
        private val free = input.engines.filter { it.idle }.toMutableList()
        private val copies = HashMap<ModelName, Int>()
        private val shares = HashMap<ModelName, Double>()
        private var storeLoadsLeft = input.storeLoadsLeft

        /** Demand moves: a model that nobody asks for now may be the next one that many ask for. */
        private val silentWorth =
            settings.silentShare * input.pressure.values.sumOf { it.worthPerSecond } /
                fleet.models.size.coerceAtLeast(1)

        fun moves(): List<ResidenceMove> {
            for (engine in input.engines) engine.holding.forEach { copies.merge(it, 1, Int::plus) }
            input.pressure.keys.forEach(::noteShare)
            missing().forEach { place(it, Need.MISSING) }
            overloaded().forEach { place(it, Need.OVERLOADED) }
            unprotected().forEach { place(it, Need.UNPROTECTED) }
            return moves
        }

        private fun missing(): List<ServedModel> =
            fleet.models.values
                .filter { copiesOf(it.name) == 0 }
                .sortedWith(compareBy({ -wantOf(it.name) }, { it.name }))

        private fun overloaded(): List<ServedModel> =
            fleet.models.values
                .filter { copiesOf(it.name) > 0 && shareOf(it.name) >= settings.movableShare }
                .filter { leastUtilisation(it.name) > settings.overloadedShare }
                .sortedWith(compareBy({ -pressure(it.name).worthPerSecond * missedAt(it.name) }, { it.name }))

        private fun unprotected(): List<ServedModel> =
            fleet.models.values
                .filter { copiesOf(it.name) == 1 && pressure(it.name).worthPerSecond >= settings.protectedWorth }
                .sortedWith(compareBy({ -pressure(it.name).worthPerSecond }, { it.name }))

        private fun place(
            model: ServedModel,
            need: Need,
        ) {
            val choice = free.mapNotNull { option(it, model, need) }.minByOrNull { it.cost } ?: return
            if (choice.load > settings.slowLoad && !isPressing(model, need) && !mostAreFree()) return
            free.remove(choice.engine)
            if (choice.fromStore) storeLoadsLeft--
            val victim = choice.victim
            if (victim == null) {
                val action = ResidenceAction(ResidenceAction.Kind.LOAD, model.name)
                moves += ResidenceMove(choice.engine.name, action, need.reason(model.name), choice.fromStore)
                copies.merge(model.name, 1, Int::plus)
            } else {
                val action = ResidenceAction(ResidenceAction.Kind.UNLOAD, victim)
                moves +=
                    ResidenceMove(
                        choice.engine.name,
                        action,
                        "${need.reason(model.name)}, in place of $victim",
                        wanted = model.name,
                    )
                copies.merge(victim, -1, Int::plus)
                copies.merge(model.name, 1, Int::plus)
                noteShare(victim)
            }
            noteShare(model.name)
        }

        /** An engine can't break a slow load off, so that one for a rare model may keep a much wanted one out. */
        private fun isPressing(
            model: ServedModel,
            need: Need,
        ): Boolean =
            need == Need.OVERLOADED || need == Need.MISSING && pressure(model.name).worthPerSecond >= silentWorth

        private fun mostAreFree(): Boolean = free.size * 2 > input.engines.size

        private fun noteShare(model: ModelName) {
            shares[model] = pressure(model).engineSharesWanted / copiesOf(model).coerceAtLeast(1)
        }

        private fun option(
            engine: EngineSituation,
            model: ServedModel,
            need: Need,
        ): Option? {
            if (model.name in engine.holding) return null
            val fromStore = model.name !in engine.hostCopies && model.name !in engine.diskCopies
            if (fromStore && storeLoadsLeft <= 0) return null
            val load = loadTime(engine, model)
            val room = hasRoom(engine, model)
            val victim = if (room) null else victimAt(engine, model, need, load) ?: return null
            if (room && need == Need.OVERLOADED && gainOf(model.name, need, engine, null) <= costOf(load)) return null
            val cost =
                load.toDouble(DurationUnit.SECONDS) * (settings.loadSecondCost + adaptersBlocked(engine)) +
                    utilisation(engine) * settings.utilisationCost +
                    (victim?.let { pressure(it).worthPerSecond } ?: 0.0)
            return Option(engine, victim, fromStore, load, cost)
        }

        /** The least wanted resident that may make way for [model], null if none may. */
        private fun victimAt(
            engine: EngineSituation,
            model: ServedModel,
            need: Need,
            load: Duration,
        ): ModelName? =
            engine.residents
                .filter { it != engine.unloading && mayGo(engine, it, model, need, load) }
                .minWithOrNull(compareBy({ lossOf(it) }, { it }))

        private fun mayGo(
            engine: EngineSituation,
            resident: ModelName,
            wanted: ServedModel,
            need: Need,
            load: Duration,
        ): Boolean {
            val since = engine.residentSince[resident]
            val stay = maxOf(settings.minimumResidence, coldLoadOf(resident) * settings.residencePerLoad)
            if (since != null && input.now - since < stay) return false
            val isAwaited = need == Need.MISSING && pressure(wanted.name).waiting > 0
            val isSilent = pressure(resident).worthPerSecond < silentWorth
            val isEven = copiesOf(resident) > 1 || isAwaited && (isSilent || load <= settings.slowLoad)
            val factor = if (isEven) 1.0 else settings.worthFactor
            val cost = if (need == Need.OVERLOADED) costOf(load) else 0.0
            return lossOf(resident) * factor + cost < gainOf(wanted.name, need, engine, resident)
        }

        /** Worth a second that [wanted] gains by one more copy at [engine] in place of [victim]. */
        private fun gainOf(
            wanted: ModelName,
            need: Need,
            engine: EngineSituation,
            victim: ModelName?,
        ): Double {
            val pressure = pressure(wanted)
            return when (need) {
                Need.MISSING ->
                    maxOf(wantOf(wanted), if (pressure.waiting > 0) silentWorth + settings.waitingWorth else 0.0)
                Need.OVERLOADED -> {
                    val relief = shareOf(wanted) - pressure.engineSharesWanted / (copiesOf(wanted) + 1)
                    val there = utilisation(engine) - (victim?.let(::shareOf) ?: 0.0) + shareOf(wanted) - relief
                    val after = (leastUtilisation(wanted) - relief + there) / 2
                    pressure.worthPerSecond * (missedAt(wanted) - missedShare(after))
                }
                Need.UNPROTECTED -> 0.0
            }
        }

        /** Worth a second that is lost while [resident] has one copy less. */
        private fun lossOf(resident: ModelName): Double {
            val count = copiesOf(resident)
            val pressure = pressure(resident)
            if (count <= 1) return maxOf(pressure.worthPerSecond, silentWorth)
            val surplus = pressure.engineSharesWanted / (count - 1) - shareOf(resident)
            val missed = missedShare(leastUtilisation(resident) + surplus) - missedAt(resident)
            return maxOf(pressure.worthPerSecond * missed, MINIMAL_GAIN / 2)
        }

        /** Worth a second that a load must bring to be worth its time. */
        private fun costOf(load: Duration): Double =
            load.toDouble(DurationUnit.SECONDS) * settings.loadSecondCost /
                settings.payback.toDouble(DurationUnit.SECONDS)

        /** Worth a second that is missed while [model] is resident nowhere. */
        private fun wantOf(model: ModelName): Double =
            pressure(model).let { it.worthPerSecond + it.waiting * settings.waitingWorth }

        private fun coldLoadOf(model: ModelName): Duration = fleet.models[model]?.coldLoad ?: Duration.ZERO

        /** The utilisation of the engine that can best take requests for [model]. */
        private fun leastUtilisation(model: ModelName): Double =
            input.engines.filter { model in it.holding }.minOfOrNull(::utilisation) ?: 0.0

        private fun missedAt(model: ModelName): Double = missedShare(leastUtilisation(model))

        /** The part of the worth of requests that an engine at [utilisation] does not earn: late ones earn little. */
        private fun missedShare(utilisation: Double): Double =
            when {
                utilisation <= settings.promptShare -> 0.0
                utilisation >= 1.0 -> 1.0 - FULL_ENGINE_EARNS / (utilisation * utilisation)
                else -> (1 - FULL_ENGINE_EARNS) * (utilisation - settings.promptShare) / (1 - settings.promptShare)
            }

        private fun hasRoom(
            engine: EngineSituation,
            model: ServedModel,
        ): Boolean = engine.committedMegabytes + model.memoryMegabytes <= fleet.weightMegabytes - adapterReserve()

        private fun adapterReserve(): Double =
            fleet.adapterPlaces * (fleet.models.values.maxOfOrNull { it.adapterMegabytes } ?: 0.0)

        private fun loadTime(
            engine: EngineSituation,
            model: ServedModel,
        ): Duration =
            when (model.name) {
                in engine.hostCopies -> model.hostLoad
                in engine.diskCopies -> model.diskLoad
                else -> model.coldLoad
            }

        private fun utilisation(engine: EngineSituation): Double = engine.holding.sumOf { shareOf(it) }

        /** Worth a second of requests that could want an adapter here, which no engine takes in during a load. */
        private fun adaptersBlocked(engine: EngineSituation): Double =
            engine.holding.sumOf { pressure(it).adapterWorthPerSecond / copiesOf(it).coerceAtLeast(1) }

        private fun pressure(model: ModelName): ModelPressure = input.pressure[model] ?: NO_PRESSURE

        private fun copiesOf(model: ModelName): Int = copies[model] ?: 0

        private fun shareOf(model: ModelName): Double = shares[model] ?: 0.0
    }

    private class Option(
        val engine: EngineSituation,
        val victim: ModelName?,
        val fromStore: Boolean,
        val load: Duration,
        val cost: Double,
    )

    private enum class Need {
        MISSING,
        OVERLOADED,
        UNPROTECTED,
        ;

        fun reason(model: ModelName): String =
            when (this) {
                MISSING -> "$model is resident nowhere"
                OVERLOADED -> "$model is more than its engines bear"
                UNPROTECTED -> "$model has one copy only"
            }
    }

    private companion object {
        val NO_PRESSURE = ModelPressure()
        const val MINIMAL_GAIN = 0.001

        /** Part of the worth that requests earn at an engine that is just full: about half of them are late. */
        const val FULL_ENGINE_EARNS = 0.5
    }
}
