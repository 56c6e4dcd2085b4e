package plantainturn.process.control.residence.internal

import plantainturn.process.control.residence.EngineSnapshot
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.control.residence.ResidenceInput
import plantainturn.process.control.residence.ResidenceSettings
import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Estimates what copies of models are worth to callers, with the moves planned so far included. */
internal class ResidenceWorth(
    private val input: ResidenceInput,
    private val settings: ResidenceSettings,
) {
    private val copies = HashMap<ModelName, Int>()
    private val engineShares = HashMap<ModelName, Double>()

    /** Worth per second of a model without demand: demand may shift to it next. */
    val idleModelWorth: Double =
        settings.idleModelShare * input.pressure.values.sumOf { it.worthPerSecond } /
            input.fleet.models.size
                .coerceAtLeast(1)

    init {
        for (engine in input.engines) engine.expectedResidents.forEach { copies.merge(it, 1, Int::plus) }
        input.pressure.keys.forEach(::updateEngineShare)
    }

    /** Adds a copy of [model] that a planned move loads. */
    fun addCopy(model: ModelName) {
        copies.merge(model, 1, Int::plus)
        updateEngineShare(model)
    }

    /** Removes a copy of [model] that a planned move unloads. */
    fun removeCopy(model: ModelName) {
        copies.merge(model, -1, Int::plus)
        updateEngineShare(model)
    }

    /** Returns the worth per second gained by another copy of [wanted] on [engine] in place of [victim]. */
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

    /** Returns the worth per second lost while [resident] has one copy fewer. */
    fun lossOf(resident: ModelName): Double {
        val count = copiesOf(resident)
        val pressure = pressure(resident)
        if (count <= 1) return maxOf(pressure.worthPerSecond, idleModelWorth)
        val surplus = pressure.engineSharesWanted / (count - 1) - engineShareOf(resident)
        val lostShare = lostShareAt(leastUtilisation(resident) + surplus) - lostShareOf(resident)
        return maxOf(pressure.worthPerSecond * lostShare, MINIMUM_LOSS)
    }

    /** Returns the worth per second that a load must gain to recover its cost within the payback time. */
    fun costOf(load: Duration): Double =
        load.toDouble(DurationUnit.SECONDS) * settings.loadSecondCost /
            settings.payback.toDouble(DurationUnit.SECONDS)

    /** Returns the worth per second lost while [model] is not resident on any engine. */
    fun unservedWorthOf(model: ModelName): Double =
        pressure(model).let { it.worthPerSecond + it.waiting * settings.waitingRequestWorth }

    /** Returns the utilisation of the least used engine that holds [model], 0 if none does. */
    fun leastUtilisation(model: ModelName): Double =
        input.engines.filter { model in it.expectedResidents }.minOfOrNull(::utilisation) ?: 0.0

    /** Returns the share of the worth of requests for [model] that is lost because its engines are too busy. */
    fun lostShareOf(model: ModelName): Double = lostShareAt(leastUtilisation(model))

    /** Returns the share of worth lost at an engine with [utilisation], where late requests are worth little. */
    private fun lostShareAt(utilisation: Double): Double =
        when {
            utilisation <= settings.onTimeUtilisation -> 0.0
            utilisation >= 1.0 -> 1.0 - WORTH_KEPT_AT_FULL_LOAD / (utilisation * utilisation)
            else ->
                (1 - WORTH_KEPT_AT_FULL_LOAD) * (utilisation - settings.onTimeUtilisation) /
                    (1 - settings.onTimeUtilisation)
        }

    /** Returns the share of the time of [engine] that requests for its models take. */
    fun utilisation(engine: EngineSnapshot): Double = engine.expectedResidents.sumOf { engineShareOf(it) }

    /** Returns the worth per second of requests for adapters on [engine], which loads no adapters during a load. */
    fun blockedAdapterWorth(engine: EngineSnapshot): Double =
        engine.expectedResidents.sumOf { pressure(it).adapterWorthPerSecond / copiesOf(it).coerceAtLeast(1) }

    fun pressure(model: ModelName): ModelPressure = input.pressure[model] ?: NO_PRESSURE

    /** Returns the number of engines that hold or will hold [model]. */
    fun copiesOf(model: ModelName): Int = copies[model] ?: 0

    /** Returns the share of an engine's time that requests for one copy of [model] take. */
    fun engineShareOf(model: ModelName): Double = engineShares[model] ?: 0.0

    private fun updateEngineShare(model: ModelName) {
        engineShares[model] = pressure(model).engineSharesWanted / copiesOf(model).coerceAtLeast(1)
    }

    private companion object {
        val NO_PRESSURE = ModelPressure()

        /** Loss of a copy that is not needed, above 0 so that no model moves without a gain. */
        const val MINIMUM_LOSS = 0.0005

        /** Share of worth kept at an engine with utilisation 1, where about half of the requests are late. */
        const val WORTH_KEPT_AT_FULL_LOAD = 0.5
    }
}
