package plantainturn.benchmarks

import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import plantainturn.connection.engine.PromptPrefix
import plantainturn.connection.upstream.UpstreamUsage
import plantainturn.process.time.Moment
import plantainturn.request.routing.FirstTokenEstimator
import plantainturn.request.routing.PrefixCacheIndex
import plantainturn.request.routing.RemoteSends
import plantainturn.request.routing.RouteQuery
import plantainturn.request.routing.Router
import plantainturn.request.routing.RoutingIndex
import plantainturn.version.configuration.FailureDomain
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Measures routing decisions and the upkeep of the routing index at the size of the target. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class RouterBenchmark {
    private val random = Random(1)
    private val fleet = TargetFleet(random)
    private val views = fleet.views()
    private val index = RoutingIndex.of(views)
    private val prefixCache = PrefixCacheIndex()
    private val usage = UpstreamUsage()
    private val estimate = FirstTokenEstimator(FailureDomain("domain-1"), usage, RemoteSends.NONE, prefixCache)
    private val router = Router(estimate, prefixCache, random)
    private val queries = fleet.models.map { RouteQuery(it, PromptPrefix.hashes(it, PROMPT)) }
    private var next = 0

    init {
        val names = views.keys.toList()
        queries.forEach { prefixCache.recordSend(names[random.nextInt(names.size)], it.prefixes, Moment.ORIGIN) }
    }

    /** Chooses the upstream for one request. */
    @Benchmark
    public fun route(): Any = router.route(index, nextQuery(), baseModel = null, now = Moment.ORIGIN)

    /** Takes one server's new report into the index. */
    @Benchmark
    public fun updateOneServer(): Any {
        val view = fleet.view(random.nextInt(views.size))
        return index.updated(views.put(view.name, view))
    }

    /** Makes the index of all servers anew. */
    @Benchmark
    public fun indexAllServers(): Any = RoutingIndex.of(views)

    /** Hashes the prefixes of a prompt of 2,048 characters. */
    @Benchmark
    public fun hashPrompt(): Any = PromptPrefix.hashes(fleet.models[0], PROMPT)

    private fun nextQuery(): RouteQuery {
        next = (next + 1) % queries.size
        return queries[next]
    }

    private companion object {
        val PROMPT = "What is the deposit on a keg? ".repeat(70).take(2_048)
    }
}
