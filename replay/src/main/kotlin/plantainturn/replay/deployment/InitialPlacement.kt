package plantainturn.replay.deployment

import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName

/**
 * Where everything is when a replay begins, whatever the policy, and where `static` keeps it.
 *
 * Each base model with its adapters goes to two upstreams in different failure domains, the emptiest first, then to
 * further ones as long as memory lasts.
 *
 * @property models the base models of each upstream
 */
internal class InitialPlacement private constructor(
    val models: Map<UpstreamName, List<ModelName>>,
) {
    /** The models that have copies in two failure domains. */
    fun withFloor(configuration: Configuration): Set<ModelName> {
        val domains = HashMap<ModelName, MutableSet<String>>()
        models.forEach { (upstream, names) ->
            val domain =
                configuration.upstreams
                    .getValue(upstream)
                    .failureDomain.value
            names.forEach { domains.getOrPut(it, ::HashSet) += domain }
        }
        return domains.filterValues { it.size > 1 }.keys
    }

    companion object {
        fun of(configuration: Configuration): InitialPlacement {
            val engines = configuration.upstreams.filterValues { it.kind == UpstreamKind.ENGINE }
            val free = engines.mapValuesTo(LinkedHashMap()) { it.value.weightCapacityMegabytes }
            val placed = engines.keys.associateWith { mutableListOf<ModelName>() }
            val sizes = sizes(configuration)
            val bySize = sizes.keys.sortedWith(compareBy({ -sizes.getValue(it) }, { it }))

            fun place(
                model: ModelName,
                apart: Boolean,
            ): Boolean {
                val holders = placed.filterValues { model in it }.keys
                val taken = holders.map { engines.getValue(it).failureDomain }
                val target =
                    free.entries
                        .filter { it.key !in holders && it.value >= sizes.getValue(model) }
                        .filter { !apart || engines.getValue(it.key).failureDomain !in taken }
                        .maxByOrNull { it.value } ?: return false
                placed.getValue(target.key) += model
                free[target.key] = target.value - sizes.getValue(model)
                return true
            }
            repeat(2) { bySize.forEach { place(it, apart = true) } }
            var placedAny = true
            while (placedAny) placedAny = bySize.map { place(it, apart = false) }.any { it }
            return InitialPlacement(placed)
        }

        private fun sizes(configuration: Configuration): Map<ModelName, Long> =
            configuration.models.mapValues { (name, model) ->
                model.memoryMegabytes +
                    configuration.adapters.values
                        .filter { it.baseModel == name }
                        .sumOf { it.memoryMegabytes }
            }
    }
}
