package plantainturn.version.placement.internal

import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.PlacementState

/**
 * A model or adapter while a plan is made.
 *
 * @property adapters the adapters of a base model
 * @property live usable upstreams where it is ready, loading, or about to be loaded by this plan
 * @property requestsPerSecond the demand to plan for
 * @property tokensPerSecond the demand to plan for, in tokens, its adapters' included
 */
internal class BoardModel(
    val name: ModelName,
    val baseModel: ModelName?,
    val memoryMegabytes: Long,
    val requestsPerSecond: Double,
    val tokensPerRequest: Double,
    val waiting: Int,
) {
    val adapters: MutableList<BoardModel> = mutableListOf()
    val live: MutableList<BoardUpstream> = mutableListOf()

    val tokensPerSecond: Double
        get() = requestsPerSecond * tokensPerRequest + adapters.sumOf { it.tokensPerSecond }

    /** Memory that one more copy takes together with all adapters. */
    val groupMegabytes: Long
        get() = memoryMegabytes + adapters.sumOf { it.memoryMegabytes }

    val liveDomains: Set<FailureDomain>
        get() = live.mapTo(HashSet()) { it.domain }

    fun isReadyOn(upstream: BoardUpstream): Boolean = upstream.states[name] == PlacementState.READY

    fun readyUpstreams(): List<BoardUpstream> = live.filter { isReadyOn(it) }
}
