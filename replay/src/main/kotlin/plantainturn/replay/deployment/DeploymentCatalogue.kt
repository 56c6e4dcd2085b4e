package plantainturn.replay.deployment

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.replay.DeploymentName
import plantainturn.replay.engine.EngineProfile
import plantainturn.replay.trace.WorkloadShape
import plantainturn.version.configuration.AdapterSpecification
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ModelSpecification
import plantainturn.version.configuration.Objective
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.ServiceSpecification
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import plantainturn.version.configuration.WeightStoreLimits
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** The deployments of the brief and the size to design for. */
internal object DeploymentCatalogue {
    fun find(name: DeploymentName): ReplayDeployment =
        when (name) {
            DeploymentName.HAMASAKI -> HAMASAKI
            DeploymentName.VALTELLINA -> VALTELLINA
            DeploymentName.TARGET -> TARGET
        }

    private val HAMASAKI =
        ReplayDeployment(
            configuration =
                configuration(
                    Fleet(listOf("hakata", "kitakyushu", "kumamoto"), 6, 4, 320_000, 80_000, "ledger"),
                    Catalogue(20, listOf(14_000, 16_000, 28_000, 14_000, 40_000, 16_000, 28_000, 48_000), 40, 300),
                    WeightStoreLimits(1.0, 8, 60),
                    Objective(attainmentWeight = 1.0, moveWeight = 1.0),
                ),
            profile = EngineProfile(),
            workload = WorkloadShape(1.hours, 6.5, surgeFactor = 2.0),
            nodes = 8,
            betweenDomains = 500.microseconds,
            toClients = 3.milliseconds,
        )

    private val VALTELLINA =
        ReplayDeployment(
            configuration =
                configuration(
                    Fleet(listOf("sondrio", "bergamo", "como"), 13, 2, 160_000, 40_000, "bookings"),
                    Catalogue(40, listOf(8_000, 14_000, 16_000, 14_000, 24_000, 8_000, 16_000, 14_000), 100, 200),
                    WeightStoreLimits(2.0, 3, 25),
                    Objective(attainmentWeight = 1.0, moveWeight = 8.0),
                ),
            profile = EngineProfile(),
            workload = WorkloadShape(1.hours, 7.0, batches = 4, requestsPerBatch = 300),
            nodes = 8,
            betweenDomains = 1500.microseconds,
            toClients = 1.milliseconds,
        )

    private val TARGET =
        ReplayDeployment(
            configuration =
                configuration(
                    Fleet(List(7) { "domain-${it + 1}" }, 600, 4, 320_000, 80_000, "orders"),
                    Catalogue(340, listOf(28_000, 48_000, 70_000, 28_000, 140_000, 48_000, 70_000, 28_000), 680, 300),
                    WeightStoreLimits(40.0, 120, 600),
                    Objective(attainmentWeight = 1.0, moveWeight = 4.0),
                ),
            profile = EngineProfile(),
            workload = WorkloadShape(2.minutes, 1300.0, burstLength = 1.minutes..2.minutes),
            nodes = 330,
            betweenDomains = 1.milliseconds,
            toClients = 3.milliseconds,
        )

    private class Fleet(
        val domains: List<String>,
        val servers: Int,
        val accelerators: Int,
        val memoryMegabytes: Long,
        val cacheReserveMegabytes: Long,
        val service: String,
    )

    private class Catalogue(
        val models: Int,
        val modelMegabytes: List<Long>,
        val adapters: Int,
        val adapterMegabytes: Long,
    )

    private fun configuration(
        fleet: Fleet,
        catalogue: Catalogue,
        limits: WeightStoreLimits,
        objective: Objective,
    ): Configuration =
        Configuration(
            models = models(catalogue).toPersistentMap(),
            adapters = adapters(catalogue).toPersistentMap(),
            upstreams = (engines(fleet) + serviceUpstreams(fleet)).toPersistentMap(),
            services = service(fleet).toPersistentMap(),
            weightStore = limits,
            objective = objective,
        )

    private fun models(catalogue: Catalogue): Map<ModelName, ModelSpecification> =
        (0 until catalogue.models).associate {
            modelName(it) to ModelSpecification(catalogue.modelMegabytes[it % catalogue.modelMegabytes.size])
        }

    private fun adapters(catalogue: Catalogue): Map<ModelName, AdapterSpecification> =
        (0 until catalogue.adapters).associate {
            val name = ModelName("adapter-%03d".format(it + 1))
            name to AdapterSpecification(modelName(it % catalogue.models), catalogue.adapterMegabytes)
        }

    private fun engines(fleet: Fleet): Map<UpstreamName, UpstreamSpecification> =
        (0 until fleet.servers).associate {
            UpstreamName("assistant-%03d".format(it + 1)) to
                UpstreamSpecification(
                    address = "http://10.0.${it / ADDRESSES}.${it % ADDRESSES + 1}:8000",
                    failureDomain = FailureDomain(fleet.domains[it % fleet.domains.size]),
                    kind = UpstreamKind.ENGINE,
                    accelerators = fleet.accelerators,
                    memoryMegabytes = fleet.memoryMegabytes,
                    cacheReserveMegabytes = fleet.cacheReserveMegabytes,
                    concurrency = CONCURRENCY_PER_ACCELERATOR * fleet.accelerators,
                    refusesOldFences = it % IGNORES_FENCES != 0,
                )
        }

    private fun serviceUpstreams(fleet: Fleet): Map<UpstreamName, UpstreamSpecification> =
        fleet.domains.take(SERVICE_UPSTREAMS).withIndex().associate { (index, domain) ->
            UpstreamName("${fleet.service}-${index + 1}") to
                UpstreamSpecification("http://10.1.0.${index + 1}:8000", FailureDomain(domain), UpstreamKind.SERVICE)
        }

    private fun service(fleet: Fleet): Map<ServiceName, ServiceSpecification> {
        val upstreams = List(SERVICE_UPSTREAMS) { UpstreamName("${fleet.service}-${it + 1}") }
        return mapOf(ServiceName(fleet.service) to ServiceSpecification(upstreams.toPersistentList()))
    }

    private fun modelName(index: Int): ModelName = ModelName("model-%03d".format(index + 1))

    private const val ADDRESSES = 250
    private const val CONCURRENCY_PER_ACCELERATOR = 6
    private const val IGNORES_FENCES = 3
    private const val SERVICE_UPSTREAMS = 3
}
