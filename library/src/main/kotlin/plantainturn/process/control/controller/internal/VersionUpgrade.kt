package plantainturn.process.control.controller.internal

import plantainturn.connection.engine.ResidentState
import plantainturn.process.control.ledger.UpstreamLedger
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.placement.PlacementMove
import plantainturn.version.placement.PlacementState
import plantainturn.version.placement.PlannedUpstream

/**
 * Upgrades resident weights to the configured version, one engine at a time for each model or adapter.
 *
 * The new version is loaded beside the old one, which the engine drops once the new one is ready. Where there is no
 * memory for both, the old version is unloaded first, but only if another usable engine has the model ready.
 */
internal class VersionUpgrade(
    private val configuration: Configuration,
    private val upstreams: Map<UpstreamName, PlannedUpstream>,
    private val ledger: (UpstreamName) -> UpstreamLedger?,
) {
    /** Returns the upgrade moves to start now, without the models and adapters that [planned] already moves. */
    fun moves(planned: List<PlacementMove>): List<PlacementMove> {
        val alreadyPlanned = planned.mapNotNullTo(HashSet(), ::nameOf)
        val names = (configuration.models.keys + configuration.adapters.keys).sorted()
        return names.filter { it !in alreadyPlanned && hasNoOrders(it) }.mapNotNull(::upgrade)
    }

    private fun upgrade(name: ModelName): PlacementMove? {
        val version = configuration.models[name]?.weightsVersion ?: configuration.adapters.getValue(name).weightsVersion
        val outdated = upstreams.filter { it.value.usable && isOutdated(name, version, it.key) }
        val withRoom = outdated.filter { it.value.freeMegabytes >= memoryOf(name) }.keys.minOrNull()
        if (withRoom != null) return PlacementMove.Load(withRoom, name, "version $version is configured")
        val withoutRoom = outdated.keys.minOrNull() ?: return null
        if (readyElsewhere(name, withoutRoom).isEmpty()) return null
        return PlacementMove.Unload(
            withoutRoom,
            name,
            "version $version is configured, and there is no memory for both",
        )
    }

    private fun isOutdated(
        name: ModelName,
        version: String,
        upstream: UpstreamName,
    ): Boolean {
        val held =
            ledger(upstream)
                ?.residents
                ?.values
                .orEmpty()
                .filter { it.name == name }
        return held.any { it.state == ResidentState.READY } && held.none { it.weightsVersion == version }
    }

    private fun readyElsewhere(
        name: ModelName,
        except: UpstreamName,
    ): Set<UpstreamName> =
        upstreams
            .filter { it.key != except && it.value.usable && it.value.placements[name] == PlacementState.READY }
            .keys

    private fun hasNoOrders(name: ModelName): Boolean =
        upstreams.keys.none { upstream ->
            ledger(upstream)
                ?.orders
                ?.values
                .orEmpty()
                .any { it.loads?.name == name || it.unloads?.name == name }
        }

    private fun memoryOf(name: ModelName): Long =
        configuration.models[name]?.memoryMegabytes ?: configuration.adapters.getValue(name).memoryMegabytes

    private fun nameOf(move: PlacementMove): ModelName? =
        when (move) {
            is PlacementMove.Load -> move.name
            is PlacementMove.Unload -> move.name
            is PlacementMove.ChangeRole -> null
        }
}
