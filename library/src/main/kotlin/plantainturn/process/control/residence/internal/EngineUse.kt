package plantainturn.process.control.residence.internal

import plantainturn.version.route.EngineFleet

/** What models and adapters take of one engine: memory in megabytes, and places for adapters. */
internal data class EngineUse(
    val megabytes: Double,
    val adapters: Int,
) {
    operator fun plus(other: EngineUse): EngineUse = EngineUse(megabytes + other.megabytes, adapters + other.adapters)

    /** Returns the larger of both in memory, and in places. */
    fun largest(other: EngineUse): EngineUse =
        EngineUse(maxOf(megabytes, other.megabytes), maxOf(adapters, other.adapters))

    /** Returns whether an engine of [fleet] has that much. */
    fun fits(fleet: EngineFleet): Boolean = megabytes <= fleet.weightMegabytes && adapters <= fleet.adapterSlots

    companion object {
        val NONE = EngineUse(megabytes = 0.0, adapters = 0)
    }
}
