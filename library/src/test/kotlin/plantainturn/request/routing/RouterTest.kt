package plantainturn.request.routing

import kotlinx.collections.immutable.persistentSetOf
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import plantainturn.connection.engine.ResidentState
import plantainturn.connection.upstream.LoadLimit
import plantainturn.connection.upstream.UpstreamUsage
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment
import plantainturn.request.Samples
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RouterTest {
    private val usage = UpstreamUsage()
    private val prefixCache = PrefixCacheIndex()
    private val now = Moment.ORIGIN
    private val query = RouteQuery(Samples.model)

    @Test
    fun `upstreams that take no work are not chosen`() {
        val loading = Samples.report(listOf(Samples.resident(Samples.model, ResidentState.LOADING)))
        val base = Samples.report(listOf(Samples.resident(Samples.model)))
        val adapter = RouteQuery(Samples.adapter)
        val cases =
            listOf(
                Triple(listOf(), query, RouteDecision.NoHolder),
                Triple(listOf(Samples.engineView(1, leaving = true)), query, RouteDecision.NoHolder),
                Triple(listOf(Samples.engineView(1, report = null)), query, RouteDecision.NoHolder),
                Triple(listOf(Samples.engineView(1, loading)), query, RouteDecision.Pending),
                Triple(listOf(Samples.engineView(1, base)), adapter, RouteDecision.Pending),
            )
        cases.forEach { (views, query, decision) -> assertEquals(decision, route(views, query)) }
    }

    @Test
    fun `suspected and avoided upstreams are chosen only if there is no other`() {
        val suspected = Samples.engineView(1, suspected = true)
        val healthy = Samples.engineView(2)
        repeat(20) {
            assertEquals(healthy.name, chosen(listOf(suspected, healthy)))
            assertEquals(
                suspected.name,
                chosen(listOf(suspected, healthy), query.copy(avoided = persistentSetOf(healthy.name))),
            )
        }
        assertEquals(suspected.name, chosen(listOf(suspected)))
    }

    @Test
    fun `an upstream at its limit is skipped and the decision is busy if all are at their limits`() {
        val views = listOf(1, 2).map { Samples.engineView(it, concurrency = 1) }
        usage.tryBegin(views[0].name, views[0].specification, now)
        repeat(10) { assertEquals(views[1].name, chosen(views)) }
        usage.tryBegin(views[1].name, views[1].specification, now)
        assertEquals(RouteDecision.Busy, route(views, query))
    }

    @Test
    fun `the node's own failure domain breaks a tie and a cached prefix outweighs it`() {
        val views = listOf(Samples.engineView(1, domain = "como"), Samples.engineView(2, domain = "sondrio"))
        val router = router(domain = "sondrio")
        val withPrompt = query.copy(prefixes = listOf(7, 8))
        repeat(10) { assertEquals(views[1].name, chosen(views, withPrompt, router)) }
        prefixCache.recordSend(views[0].name, listOf(7, 8), now)
        repeat(10) { assertEquals(views[0].name, chosen(views, withPrompt, router)) }
    }

    @Property(seed = "45", tries = 1_000)
    fun `with two candidates the choice equals that of a naive exhaustive search`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val views =
            List(2) {
                val report = Samples.report(running = random.nextInt(24), waiting = random.nextInt(4))
                Samples.engineView(it, report, suspected = random.nextInt(4) == 0, leaving = random.nextInt(8) == 0)
            }
        val usable = views.filter { !it.leaving }
        val ranked = usable.filter { !it.suspected }.ifEmpty { usable }
        val best =
            ranked
                .filter {
                    naiveLoad(
                        it,
                    ) < LoadLimit(it.specification.concurrency).value
                }.minByOrNull(::naiveLoad)
        when (val decision = route(views, query)) {
            is RouteDecision.Chosen -> assertEquals(best?.let(::naiveLoad), naiveLoad(decision.upstream))
            else -> assertEquals(null, best)
        }
    }

    @Property(seed = "46", tries = 200)
    fun `an incrementally updated index equals one built from scratch`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        var views = Samples.views(emptyList())
        var index = RoutingIndex.EMPTY
        repeat(12) {
            val view = Samples.engineView(random.nextInt(5), leaving = random.nextInt(4) == 0)
            views = if (random.nextInt(4) == 0) views.remove(view.name) else views.put(view.name, view)
            index = index.updated(views)
            assertEquals(RoutingIndex.of(views).holders(Samples.model), index.holders(Samples.model))
        }
    }

    @Test
    fun `nodes that share one outdated view spread their requests`() {
        val views = (1..20).map { Samples.engineView(it, Samples.report(running = it % 5), concurrency = 64) }
        val index = RoutingIndex.of(Samples.views(views))
        val counts = HashMap<UpstreamName, Int>()
        for (node in 1..40) {
            val router = Router(estimator(UpstreamUsage(), null), prefixCache, Random(node))
            repeat(5) {
                val decision = assertIs<RouteDecision.Chosen>(router.route(index, query, null, now))
                counts.merge(decision.upstream.name, 1, Int::plus)
            }
        }
        val mean = 200.0 / views.size
        assertTrue(counts.values.max() <= 3 * mean, counts.toString())
        assertTrue(counts.size >= views.size * 3 / 4, counts.toString())
    }

    @Test
    fun `own sends since the report count towards the load`() {
        val views = listOf(Samples.engineView(1), Samples.engineView(2, Samples.report(running = 3)))
        val choices =
            List(6) {
                val name = chosen(views)
                usage.tryBegin(name, views.first { it.name == name }.specification, Moment(1))
                name
            }
        assertEquals(listOf(5, 1), views.map { view -> choices.count { it == view.name } }.sortedDescending())
    }

    private fun naiveLoad(view: UpstreamView): Int = view.report?.let { it.running + it.waiting } ?: 0

    private fun estimator(
        usage: UpstreamUsage,
        domain: String?,
    ) = FirstTokenEstimator(domain?.let(::FailureDomain), usage, RemoteSends.NONE, prefixCache)

    private fun router(domain: String? = null) = Router(estimator(usage, domain), prefixCache, Random(1))

    private fun route(
        views: List<UpstreamView>,
        query: RouteQuery,
        router: Router = router(),
    ): RouteDecision {
        val base = Samples.model.takeIf { query.target == Samples.adapter }
        return router.route(RoutingIndex.of(Samples.views(views)), query, base, now)
    }

    private fun chosen(
        views: List<UpstreamView>,
        query: RouteQuery = this.query,
        router: Router = router(),
    ): UpstreamName = assertIs<RouteDecision.Chosen>(route(views, query, router)).upstream.name
}
