package plantainturn.benchmarks

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import kotlin.random.Random

/** The upstreams and models of the target: 600 servers in 7 failure domains that hold 340 models, 3 on each. */
internal class TargetFleet(
    private val random: Random,
) {
    val models: List<ModelName> = List(MODELS) { ModelName("model-$it") }

    /** Returns a view of each server. */
    fun views(): PersistentMap<UpstreamName, UpstreamView> =
        (0 until SERVERS).map(::view).associateBy { it.name }.toPersistentMap()

    /** Returns a view of one server with a new report. */
    fun view(server: Int): UpstreamView {
        val residents = (0 until MODELS_PER_SERVER).map { resident((server * MODELS_PER_SERVER + it) % MODELS) }
        return UpstreamView(
            name = UpstreamName("server-$server"),
            specification =
                UpstreamSpecification(
                    address = "http://127.0.0.1:1",
                    failureDomain = FailureDomain("domain-${server % DOMAINS}"),
                    kind = UpstreamKind.ENGINE,
                ),
            report =
                EngineReport(
                    incarnation = "first",
                    sequence = 1,
                    ageMilliseconds = 0,
                    highestFence = FenceNumber.NONE,
                    residents = residents.toPersistentList(),
                    running = random.nextInt(16),
                    waiting = random.nextInt(4),
                ),
            reportTakenAt = Moment.ORIGIN,
        )
    }

    private fun resident(model: Int): Resident = Resident(models[model], "1", 1, ResidentState.READY)

    private companion object {
        const val SERVERS = 600
        const val MODELS = 340
        const val MODELS_PER_SERVER = 3
        const val DOMAINS = 7
    }
}
