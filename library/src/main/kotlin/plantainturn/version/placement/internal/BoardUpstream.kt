package plantainturn.version.placement.internal

import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.placement.PlacementState

/**
 * An engine while a plan is made.
 *
 * @property freeMegabytes memory not yet taken by this plan, negative where the plan waits for memory to come free
 * @property arrivingMegabytes memory that outstanding unloads will free and that this plan has not yet given away
 * @property capacityTokensPerSecond tokens that it can generate a second with requests in their targets
 */
internal class BoardUpstream(
    val name: UpstreamName,
    val domain: FailureDomain,
    val usable: Boolean,
    val acceptsOrders: Boolean,
    val capacityTokensPerSecond: Double,
    var freeMegabytes: Long,
    var arrivingMegabytes: Long,
    val states: MutableMap<ModelName, PlacementState>,
) : Comparable<BoardUpstream> {
    /** Expected tokens a second with the placement as planned so far. */
    var loadTokensPerSecond: Double = 0.0

    val headroom: Double
        get() = capacityTokensPerSecond - loadTokensPerSecond

    val overflow: Double
        get() = maxOf(0.0, -headroom)

    val utilisation: Double
        get() = if (capacityTokensPerSecond > 0) loadTokensPerSecond / capacityTokensPerSecond else 1.0

    /** Returns whether any state of [model], even one in doubt, takes memory here. */
    fun has(model: BoardModel): Boolean = model.name in states

    fun fits(megabytes: Long): Boolean = freeMegabytes >= megabytes

    fun willFit(megabytes: Long): Boolean = freeMegabytes + arrivingMegabytes >= megabytes

    override fun compareTo(other: BoardUpstream): Int = name.compareTo(other.name)
}
