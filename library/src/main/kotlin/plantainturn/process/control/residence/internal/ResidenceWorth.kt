package plantainturn.process.control.residence.internal

import plantainturn.process.control.residence.EngineSnapshot
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.control.residence.ResidenceInput
import plantainturn.process.control.residence.ResidenceSettings
import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** What models at engines are worth to callers while a plan is made, moves that it has begun included. */
internal class ResidenceWorth(
    private val input: ResidenceInput,
    private val settings: ResidenceSettings,
) {
    private val copies = HashMap<ModelName, Int>()
    private val engineShares = HashMap<ModelName, Double>()

    /** Demand moves: a model that nobody asks for now may be the next one that many ask for. */
    val idleModelWorth: Double =
        settings.idleModelShare * input.pressure.values.sumOf { it.worthPerSecond } /
            input.fleet.models.size
                .coerceAtLeast(1)

    init {
        for (engine in input.engines) engine.expectedResidents.forEach { copies.merge(it, 1, Int::plus) }
        input.pressure.keys.forEach(::updateEngineShare)
    }

    /** Notes that a move brings [model] to one more engine. */
    fun addCopy(model: ModelName) {
        copies.merge(model, 1, Int::plus)
        updateEngineShare(model)
    }

    /** Notes that a move takes [model] from an engine. */
    fun removeCopy(model: ModelName) {
        copies.merge(model, -1, Int::plus)
        updateEngineShare(model)
    }

    /** Worth a second that [wanted] gains by one more copy at [engine] in place of [victim]. */
    fun gainOf(
        wanted: ModelName,
        need: ResidenceNeed,
        engine: EngineSnapshot,
        victim: ModelName?,
    ): Double {
        val pressure = pressure(wanted)
        return when (need) {
            ResidenceNeed.MISSING ->
                maxOf(
                    unservedWorthOf(wanted),
                    if (pressure.waiting > 0) idleModelWorth + settings.waitingRequestWorth else 0.0,
                )
            ResidenceNeed.OVERLOADED -> {
                val relief = engineShareOf(wanted) - pressure.engineSharesWanted / (copiesOf(wanted) + 1)
                val targetUtilisation =
                    utilisation(engine) - (victim?.let(::engineShareOf) ?: 0.0) + engineShareOf(wanted) - relief
                val utilisationAfter = (leastUtilisation(wanted) - relief + targetUtilisation) / 2
                pressure.worthPerSecond * (lostShareOf(wanted) - lostShareAt(utilisationAfter))
            }
            ResidenceNeed.UNPROTECTED -> 0.0
        }
    }

    /** Worth a second that is lost while [resident] has one copy less. */
    fun lossOf(resident: ModelName): Double {
        val count = copiesOf(resident)
        val pressure = pressure(resident)
        if (count <= 1) return maxOf(pressure.worthPerSecond, idleModelWorth)
        val surplus = pressure.engineSharesWanted / (count - 1) - engineShareOf(resident)
        val lostShare = lostShareAt(leastUtilisation(resident) + surplus) - lostShareOf(resident)
        return maxOf(pressure.worthPerSecond * lostShare, MINIMUM_LOSS)
    }

    /** Worth a second that a load must bring to be worth its time. */
    fun costOf(load: Duration): Double =
        load.toDouble(DurationUnit.SECONDS) * settings.loadSecondCost /
            settings.payback.toDouble(DurationUnit.SECONDS)

    /** Worth a second that is missed while [model] is resident nowhere. */
    fun unservedWorthOf(model: ModelName): Double =
        pressure(model).let { it.worthPerSecond + it.waiting * settings.waitingRequestWorth }

    /** The utilisation of the engine that can best take requests for [model]. */
    fun leastUtilisation(model: ModelName): Double =
        input.engines.filter { model in it.expectedResidents }.minOfOrNull(::utilisation) ?: 0.0

    /** The part of the worth of requests for [model] that is lost, as its engines are too busy. */
    fun lostShareOf(model: ModelName): Double = lostShareAt(leastUtilisation(model))

    /** The part of the worth of requests that is lost at an engine with [utilisation]: late ones are worth little. */
    private fun lostShareAt(utilisation: Double): Double =
        when {
            utilisation <= settings.onTimeUtilisation -> 0.0
            utilisation >= 1.0 -> 1.0 - WORTH_KEPT_AT_FULL_LOAD / (utilisation * utilisation)
            else ->
                (1 - WORTH_KEPT_AT_FULL_LOAD) * (utilisation - settings.onTimeUtilisation) /
                    (1 - settings.onTimeUtilisation)
        }

    /** The part of the time of [engine] that its models are wanted for. */
    fun utilisation(engine: EngineSnapshot): Double = engine.expectedResidents.sumOf { engineShareOf(it) }

    /** Worth a second of requests that could want an adapter here, which no engine takes in during a load. */
    fun blockedAdapterWorth(engine: EngineSnapshot): Double =
        engine.expectedResidents.sumOf { pressure(it).adapterWorthPerSecond / copiesOf(it).coerceAtLeast(1) }

    fun pressure(model: ModelName): ModelPressure = input.pressure[model] ?: NO_PRESSURE

    /** Engines that hold or get [model]. */
    fun copiesOf(model: ModelName): Int = copies[model] ?: 0

    /** The part of an engine's time that one copy of [model] is wanted for. */
    fun engineShareOf(model: ModelName): Double = engineShares[model] ?: 0.0

    private fun updateEngineShare(model: ModelName) {
        engineShares[model] = pressure(model).engineSharesWanted / copiesOf(model).coerceAtLeast(1)
    }

    private companion object {
        val NO_PRESSURE = ModelPressure()

        /** A copy that nobody misses still counts a little, so that nothing moves for nothing. */
        const val MINIMUM_LOSS = 0.0005

        /** The part that is kept at an engine that is just full: about half of its requests are late. */
        const val WORTH_KEPT_AT_FULL_LOAD = 0.5
    }
}
