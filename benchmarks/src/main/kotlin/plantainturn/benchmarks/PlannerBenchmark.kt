package plantainturn.benchmarks

import kotlinx.collections.immutable.toPersistentMap
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import plantainturn.process.time.Moment
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ModelSpecification
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.placement.DemandPlanner
import plantainturn.version.placement.ModelDemand
import plantainturn.version.placement.PlacementState
import plantainturn.version.placement.PlannedUpstream
import plantainturn.version.placement.PlanningInput
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Measures a full plan over the servers and models of one shard; the largest size is that of the whole target. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
public open class PlannerBenchmark {
    /** The number of servers; models are in the target's proportion to them. */
    @Param("86", "172", "343", "600")
    @JvmField
    public var servers: Int = 0

    private lateinit var settled: PlanningInput
    private lateinit var empty: PlanningInput

    /** Makes the inputs. */
    @Setup
    public fun prepare() {
        val models = List(servers * MODELS_OF_TARGET / SERVERS_OF_TARGET) { ModelName("model-$it") }
        settled = input(models) { server -> placementsOf(server, models) }
        empty = input(models) { emptyMap() }
    }

    /** Plans when each model has copies. */
    @Benchmark
    public fun planSettled(): Any = DemandPlanner().plan(settled)

    /** Plans when nothing is resident yet. */
    @Benchmark
    public fun planFromNothing(): Any = DemandPlanner().plan(empty)

    private fun input(
        models: List<ModelName>,
        placements: (Int) -> Map<ModelName, PlacementState>,
    ): PlanningInput {
        val random = Random(1)
        val demand = models.associateWith { demandOf(random) }
        val specifications = models.associateWith { ModelSpecification(MODEL_MEGABYTES) }
        val upstreams = (0 until servers).associate { UpstreamName("server-$it") to upstream(it, placements(it)) }
        return PlanningInput(
            now = Moment.ORIGIN,
            configuration = Configuration(models = specifications.toPersistentMap()),
            upstreams = upstreams.toPersistentMap(),
            demand = demand.toPersistentMap(),
        )
    }

    private fun placementsOf(
        server: Int,
        models: List<ModelName>,
    ): Map<ModelName, PlacementState> =
        (0 until MODELS_PER_SERVER).associate {
            models[(server * MODELS_PER_SERVER + it) % models.size] to PlacementState.READY
        }

    private fun upstream(
        server: Int,
        placements: Map<ModelName, PlacementState>,
    ) = PlannedUpstream(
        failureDomain = FailureDomain("domain-${server % DOMAINS}"),
        accelerators = ACCELERATORS_PER_SERVER,
        capacityMegabytes = CAPACITY_MEGABYTES,
        freeMegabytes = CAPACITY_MEGABYTES - placements.size * MODEL_MEGABYTES,
        concurrency = CONCURRENCY,
        usable = true,
        placements = placements.toPersistentMap(),
    )

    private fun demandOf(random: Random): ModelDemand {
        val rate = random.nextDouble() * LARGEST_RATE
        return ModelDemand(rate, rate, rate, TOKENS_PER_REQUEST)
    }

    private companion object {
        const val SERVERS_OF_TARGET = 600
        const val MODELS_OF_TARGET = 340
        const val MODELS_PER_SERVER = 3
        const val DOMAINS = 7
        const val ACCELERATORS_PER_SERVER = 4
        const val CAPACITY_MEGABYTES = 240_000L
        const val MODEL_MEGABYTES = 60_000L
        const val CONCURRENCY = 32
        const val LARGEST_RATE = 8.0
        const val TOKENS_PER_REQUEST = 300.0
    }
}
