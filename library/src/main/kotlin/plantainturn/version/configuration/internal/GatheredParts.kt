package plantainturn.version.configuration.internal

import plantainturn.version.configuration.UpstreamKind

/** What the checks across parts need of each part; a value is null where its field is faulty. */
internal class GatheredParts {
    val models = LinkedHashMap<String, Model>()
    val adapters = LinkedHashMap<String, Adapter>()
    val upstreams = LinkedHashMap<String, Upstream>()
    val services = LinkedHashMap<String, Service>()
    val teams = LinkedHashMap<String, Team>()

    class Model(
        val path: String,
        val memoryMegabytes: Long?,
    )

    class Adapter(
        val path: String,
        val baseModel: String?,
        val memoryMegabytes: Long?,
    )

    class Upstream(
        val path: String,
        val kind: UpstreamKind?,
        val address: String?,
        val capacityMegabytes: Long?,
    )

    class Service(
        val upstreamsPath: String,
        val upstreams: List<String>,
    )

    class Team(
        val keyPath: String,
        val keySha256: String?,
    )
}
