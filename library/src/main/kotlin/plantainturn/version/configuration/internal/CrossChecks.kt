package plantainturn.version.configuration.internal

import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.document.FaultCollector

/** Checks the parts of a configuration against each other. */
internal class CrossChecks(
    private val parts: GatheredParts,
    private val faults: FaultCollector,
) {
    private val engines = parts.upstreams.values.filter { it.kind == UpstreamKind.ENGINE }
    private val largestCapacity = engines.mapNotNull { it.capacityMegabytes }.maxOrNull()

    /** Runs every check. */
    fun run() {
        parts.models.values.forEach(::modelFits)
        parts.adapters.forEach(::adapter)
        parts.services.values.forEach(::serviceUpstreams)
        addressesDiffer()
        teamKeysDiffer()
    }

    private fun modelFits(model: GatheredParts.Model) {
        fits("${model.path}.memoryMegabytes", model.memoryMegabytes ?: return)
    }

    private fun adapter(
        name: String,
        adapter: GatheredParts.Adapter,
    ) {
        if (name in parts.models) faults.add(adapter.path, "a model has the same name")
        val baseName = adapter.baseModel ?: return
        val base = parts.models[baseName]
        if (base == null) {
            faults.add("${adapter.path}.baseModel", "there is no model \"$baseName\"")
            return
        }
        val memory = adapter.memoryMegabytes ?: return
        fits("${adapter.path}.memoryMegabytes", memory + (base.memoryMegabytes ?: return), "with its base model ")
    }

    private fun fits(
        path: String,
        megabytes: Long,
        what: String = "",
    ) {
        val largest = largestCapacity ?: return
        if (megabytes <= largest) return
        faults.add(path, "${what}takes $megabytes megabytes, the largest engine has $largest megabytes for weights")
    }

    private fun serviceUpstreams(service: GatheredParts.Service) {
        val seen = mutableSetOf<String>()
        service.upstreams.forEachIndexed { index, name ->
            val path = "${service.upstreamsPath}[$index]"
            val upstream = parts.upstreams[name]
            when {
                upstream == null -> faults.add(path, "there is no upstream \"$name\"")
                upstream.kind == UpstreamKind.ENGINE ->
                    faults.add(
                        path,
                        "upstream \"$name\" is not of kind \"service\"",
                    )
                !seen.add(name) -> faults.add(path, "upstream \"$name\" is named twice")
            }
        }
    }

    private fun addressesDiffer() {
        val byAddress = parts.upstreams.entries.groupBy { it.value.address }
        for (same in byAddress.filterKeys { it != null }.values) {
            val first = same.first().key
            same.drop(1).forEach { faults.add("${it.value.path}.address", "upstream \"$first\" has the same address") }
        }
    }

    private fun teamKeysDiffer() {
        val byKey = parts.teams.entries.groupBy { it.value.keySha256 }
        for (same in byKey.filterKeys { it != null }.values) {
            val first = same.first().key
            same.drop(1).forEach { faults.add(it.value.keyPath, "team \"$first\" has the same key") }
        }
    }
}
