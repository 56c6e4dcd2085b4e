package plantainturn.process.control.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.connection.engine.EngineRole
import plantainturn.connection.engine.ResidentState
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamSpecification
import plantainturn.version.placement.PlacementState
import plantainturn.version.placement.PlannedUpstream

/**
 * Returns the planner's view of this ledger.
 *
 * @param usable whether the engine responds and is not leaving
 * @param acceptsOrders whether this lease holder may send it orders now
 */
public fun UpstreamLedger.toPlannedUpstream(
    specification: UpstreamSpecification,
    usable: Boolean,
    acceptsOrders: Boolean = true,
): PlannedUpstream =
    PlannedUpstream(
        failureDomain = specification.failureDomain,
        accelerators = specification.accelerators,
        capacityMegabytes = capacityMegabytes,
        freeMegabytes = freeMegabytes,
        concurrency = specification.concurrency,
        usable = usable && established,
        acceptsOrders = acceptsOrders,
        role = report?.role ?: EngineRole.MIXED,
        placements = placements(),
        tokensPerSecond = report?.tokensPerSecond ?: 0.0,
    )

/** Returns the state of each model and adapter that takes, or may come to take, memory on the engine. */
public fun UpstreamLedger.placements(): PersistentMap<ModelName, PlacementState> {
    val open = orders.values.filter { it.phase != OrderPhase.ENDED }
    val names = residents.keys.map { it.name } + open.mapNotNull { it.loads?.name }
    return names
        .distinct()
        .sorted()
        .associateWith { placement(it, open) }
        .toPersistentMap()
}

/** Does not count a model as resident if an open order may unload it or its base model. */
private fun UpstreamLedger.placement(
    name: ModelName,
    open: List<LedgerOrder>,
): PlacementState {
    val bases = residents.values.filter { it.name == name }.mapNotNull { it.baseModel }
    val unload = open.firstOrNull { it.unloads?.name == name || it.unloads?.name in bases }
    if (unload != null) return unload.placementUnlessInDoubt(PlacementState.UNLOADING)
    return residentPlacement(name)
        ?: open.first { it.loads?.name == name }.placementUnlessInDoubt(PlacementState.LOADING)
}

private fun UpstreamLedger.residentPlacement(name: ModelName): PlacementState? {
    val states = residents.values.filter { it.name == name }.map { it.state }
    return when {
        ResidentState.READY in states -> PlacementState.READY
        ResidentState.LOADING in states -> PlacementState.LOADING
        ResidentState.UNLOADING in states -> PlacementState.UNLOADING
        else -> null
    }
}

private fun LedgerOrder.placementUnlessInDoubt(certain: PlacementState): PlacementState =
    if (phase == OrderPhase.IN_DOUBT) PlacementState.IN_DOUBT else certain
