package plantainturn.request

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment
import plantainturn.version.configuration.AdapterSpecification
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ModelSpecification
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.ServiceSpecification
import plantainturn.version.configuration.TeamName
import plantainturn.version.configuration.TeamSpecification
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification

/** Names and values shared by the tests of requests. */
object Samples {
    val model = ModelName("bellows")
    val adapter = ModelName("bellows-bench")
    val team = TeamName("valley")
    val service = ServiceName("orders")

    fun engineName(number: Int) = UpstreamName("engine-$number")

    fun serviceName(number: Int) = UpstreamName("orders-$number")

    fun specification(
        kind: UpstreamKind = UpstreamKind.ENGINE,
        concurrency: Int = 16,
        domain: String = "como",
    ) = UpstreamSpecification("http://127.0.0.1:1", FailureDomain(domain), kind, concurrency = concurrency)

    fun resident(
        name: ModelName,
        state: ResidentState = ResidentState.READY,
    ) = Resident(name, "1", 10, state)

    fun report(
        residents: List<Resident> = listOf(resident(model)),
        running: Int = 0,
        waiting: Int = 0,
        incarnation: String = "first",
    ) = EngineReport(
        incarnation = incarnation,
        sequence = 1,
        ageMilliseconds = 0,
        highestFence = FenceNumber.NONE,
        residents = residents.toPersistentList(),
        running = running,
        waiting = waiting,
    )

    fun engineView(
        number: Int,
        report: EngineReport? = report(),
        concurrency: Int = 16,
        domain: String = "como",
        leaving: Boolean = false,
        suspected: Boolean = false,
    ) = UpstreamView(
        name = engineName(number),
        specification = specification(concurrency = concurrency, domain = domain),
        report = report,
        reportTakenAt = report?.let { Moment.ORIGIN },
        leaving = leaving,
        suspected = suspected,
    )

    fun serviceView(number: Int) = UpstreamView(serviceName(number), specification(UpstreamKind.SERVICE))

    fun views(views: List<UpstreamView>) = views.associateBy { it.name }.toPersistentMap()

    fun configuration(services: Int = 2) =
        Configuration(
            models = persistentMapOf(model to ModelSpecification(10)),
            adapters = persistentMapOf(adapter to AdapterSpecification(model, 1)),
            services =
                persistentMapOf(
                    service to ServiceSpecification((1..services).map(::serviceName).toPersistentList()),
                ),
            teams = persistentMapOf(team to TeamSpecification("")),
        )
}
