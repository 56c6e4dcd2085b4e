package plantainturn.relay.residence

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.connection.roster.RetryAfterTracker
import plantainturn.process.control.lease.HolderIdentifier
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.ModelPressure
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.InstanceSamples
import plantainturn.relay.node.InMemoryRecordStore
import plantainturn.relay.request.InstanceNotices
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.CallerLimits
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.RouteTable
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource
import plantainturn.version.route.ServedModel
import plantainturn.version.route.ServiceDefinition
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an engine that is ordered to hold more than it can, by an order that it left unanswered and executes
 * after it has started again under its name.
 */
class LateOrderTest {
    private val timer = VirtualTimerService()
    private var fleet = fleetOf(listOf(A, B, C, D))
    private val engine = LateEngine(timer) { fleet }
    private val store = InMemoryRecordStore(timer)
    private val first = Node("first")

    @Test
    fun `a late load fits into an engine whose entry lapsed while it was down`() {
        leaveLoadUnanswered()
        engine.crash()
        first.roster.remove(ENGINE, timer.now())
        timer.advance(2.seconds)
        first.roster.expire(timer.now())
        timer.advance(2.seconds)
        engine.start()
        first.putEntry()

        assertRefilledAfterBound(first)
    }

    @Test
    fun `a late load fits into an engine that accepted another order and started again at once`() {
        leaveLoadUnanswered()
        timer.advance(2.seconds)
        assertTrue(D in engine.content, "ordered once more and accepted")
        engine.crash()
        engine.start()
        first.putEntry()

        assertRefilledAfterBound(first)
    }

    @Test
    fun `a late load fits into an engine that gets the orders of the next holder`() {
        leaveLoadUnanswered()
        val next = Node("next")
        next.issuer.onReportedOrders("first", first.issuer.unansweredOrders())
        first.isRunning = false
        engine.crash()
        engine.start()
        next.putEntry()
        next.want(listOf(A, B, C))

        assertRefilledAfterBound(next)
    }

    @Test
    fun `a late load fits into an engine if its sender has lost the lease and got it back`() {
        leaveLoadUnanswered()
        first.isRunning = false
        val between = Node("between")
        between.putEntry()
        timer.advance(5.seconds)
        assertTrue(between.issuer.isActive)
        between.lease.release()
        first.isRunning = true
        engine.crash()
        engine.start()
        first.putEntry()

        assertRefilledAfterBound(first)
    }

    @Test
    fun `a late load of an adapter keeps its place after a restart`() {
        fleet = fleetOf(listOf(A))
        engine.content = persistentMapOf(A to persistentSetOf())
        first.putEntry()
        timer.advance(2.seconds)
        first.wantAdapters("x1", "x2", "x3", "x4")
        engine.delayOf =
            { order -> LATE_BY.takeIf { order.action.adapter == ModelName("x5") && engine.late.isEmpty() } }
        first.wantAdapters("x5")
        assertEquals(1L + fleet.adapterSlots, engine.late.single().expectedSequence)
        engine.crash()
        engine.start()
        first.putEntry()
        timer.advance(2.seconds)
        first.wantAdapters("y1", "y2", "y3", "y4")
        timer.advance(12.seconds)
        first.wantAdapters("y1", "y2", "y3", "y4")

        assertEquals(emptyList(), engine.overfilled)
        assertEquals(fleet.adapterSlots, engine.content.values.sumOf { it.size })
    }

    /**
     * The engine accepts three orders and leaves the fourth, a load of [D], without an answer. An engine that starts
     * again has accepted as many once it holds three models.
     */
    private fun leaveLoadUnanswered() {
        engine.content = persistentMapOf(A to persistentSetOf(), B to persistentSetOf())
        first.putEntry()
        timer.advance(3.seconds)
        assertTrue(C in engine.content, "the third place is filled")
        first.wantAdapters("x1")
        engine.delayOf = { order -> LATE_BY.takeIf { order.action.model == D && engine.late.isEmpty() } }
        first.want(listOf(A, B, D))
        repeat(LONGEST_STEPS) { if (engine.late.isEmpty()) timer.advance(STEP) }
        assertEquals(THIRD, engine.late.single().expectedSequence)
        first.want(listOf(A, B, C))
    }

    /** The engine takes two models at once, and the third when the late order can't come any more. */
    private fun assertRefilledAfterBound(node: Node) {
        timer.advance(8.seconds)
        assertEquals(emptyList(), engine.overfilled)
        assertTrue(engine.content.size >= 2, "${engine.content}")
        timer.advance(12.seconds)
        assertEquals(emptyList(), engine.overfilled)
        assertEquals(3, engine.content.size, "${engine.content}")
        assertEquals(emptyList(), node.issuer.unansweredOrders())
    }

    private inner class Node(
        name: String,
    ) {
        var isRunning = true
        val roster = InstanceRoster()
        val lease =
            StoreLease(store, HolderIdentifier(name), "$name:1", timer, { timer.now().milliseconds() })
        private val notices = InstanceNotices(roster, RetryAfterTracker(), RequestLimitTracker(), timer) { }
        val issuer = ResidenceIssuer(lease, name, roster, Routing(), engine, timer, 5.seconds, notices)

        init {
            timer.subscribe(STEP) {
                if (isRunning) {
                    lease.step(mayContend = true)
                    issuer.step()
                }
            }
        }

        fun putEntry(): Unit = roster.put(InstanceSamples.instance(ENGINE.value, engine.run).copy(service = SERVICE))

        fun want(models: List<ModelName>): Unit =
            issuer.onDemand(models.associateWith { ModelPressure(10.0, 0.1, waiting = 1) }, emptyMap(), emptyMap())

        fun wantAdapters(vararg adapters: String) {
            for (adapter in adapters) {
                issuer.wantAdapter(SERVICE, A, ModelName(adapter), listOf(ENGINE)) { }
                timer.advance(500.milliseconds)
            }
        }
    }

    private inner class Routing : RoutingSource {
        override val current: RoutingConfiguration
            get() =
                RoutingConfiguration(
                    ConfigurationVersion(1),
                    RouteTable(persistentListOf()),
                    persistentMapOf(SERVICE to ServiceDefinition(SERVICE, fleet)),
                    CallerLimits.INITIAL,
                )
    }

    private companion object {
        val ENGINE = UpstreamName("engine")
        val SERVICE = ServiceName("assistant")
        val A = ModelName("a")
        val B = ModelName("b")
        val C = ModelName("c")
        val D = ModelName("d")
        const val THIRD = 3L
        const val LONGEST_STEPS = 400
        val STEP = 50.milliseconds

        /** Less than the longest time to which an unanswered order may be delayed. */
        val LATE_BY: Duration = 11_500.milliseconds

        /** Returns engines with room for three models and four adapters. */
        fun fleetOf(models: List<ModelName>): EngineFleet =
            EngineFleet(
                concurrency = 64,
                cacheTokens = 280_048,
                weightMegabytes = 230_000.0,
                adapterSlots = 4,
                storeLoadsPerSecond = 10.0,
                models =
                    models.fold(persistentMapOf()) { all, name ->
                        all.put(name, ServedModel(name, 72_700.0, 1.seconds, 1.seconds, 1.seconds, 8, 66.0))
                    },
            )

        fun Moment.milliseconds(): Long = nanoseconds / 1_000_000
    }
}
