package plantainturn.connection.upstream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.connection.engine.CacheEvent
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.engine.ModelEngine
import plantainturn.connection.engine.OrderResult
import plantainturn.connection.engine.TokenReceiver
import plantainturn.connection.vm.VmEntry
import plantainturn.connection.vm.VmKind
import plantainturn.connection.vm.VmListResult
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.NumberedConfiguration
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(30)
class PollingUpstreamDirectoryTest {
    private val timer = VirtualTimerService()
    private val engines = (1..4).associate { name(it) to FakeEngine() }
    private val configuration = FakeConfiguration()
    private var vms = persistentListOf<VmEntry>()
    private val exchange = FakeExchange()

    @Test
    fun `reports are read from each engine and dated on this clock`() {
        engines.getValue(name(1)).report = report(sequence = 5, ageMilliseconds = 200)
        val directory = start()
        val view = directory.views().getValue(name(1))
        assertEquals(5, view.report?.sequence)
        assertEquals(timer.now() - 200.milliseconds, view.reportTakenAt)
    }

    @Test
    fun `an older report of the same process is not taken over`() {
        val engine = engines.getValue(name(1))
        engine.report = report(sequence = 5)
        val directory = start()
        engine.report = report(sequence = 4)
        timer.advance(1.seconds)
        assertEquals(5, view(directory).report?.sequence)
        engine.report = report(sequence = 0, incarnation = "restarted")
        timer.advance(1.seconds)
        assertEquals(0, view(directory).report?.sequence)
    }

    @Test
    fun `an upstream that does not answer polls is suspected until it does`() {
        val directory = start()
        val engine = engines.getValue(name(1))
        engine.report = null
        timer.advance(1.seconds)
        assertTrue(view(directory).suspected)
        assertFalse(directory.views().getValue(name(2)).suspected)
        engine.report = report()
        timer.advance(1.seconds)
        assertFalse(view(directory).suspected)
    }

    @Test
    fun `failed exchanges bring suspicion at once and it decays`() {
        val directory = start()
        repeat(2) { directory.reportFailure(name(1)) }
        assertFalse(view(directory).suspected)
        directory.reportFailure(name(1))
        assertTrue(view(directory).suspected)
        timer.advance(2.seconds)
        assertFalse(view(directory).suspected)
    }

    @Test
    fun `successes outweigh few failures`() {
        val directory = start()
        repeat(20) {
            directory.reportFailure(name(1))
            repeat(4) { directory.reportSuccess(name(1)) }
        }
        timer.advance(250.milliseconds)
        assertFalse(view(directory).suspected)
    }

    @Test
    fun `an upstream that answers far slower than the others is suspected`() {
        engines.getValue(name(1)).delay = { timer.advance(700.milliseconds) }
        val directory = start()
        assertTrue(view(directory).suspected)
        assertFalse(directory.views().getValue(name(2)).suspected)
    }

    @Test
    fun `one that hangs is suspected and delays no other`() {
        val resume = CountDownLatch(1)
        engines.getValue(name(1)).delay = { resume.await() }
        val threads = Executors.newCachedThreadPool()
        val directory = start(threads)
        engines.getValue(name(2)).report = report(sequence = 9)
        while (directory.views()[name(2)]?.report?.sequence != 9L) timer.advance(250.milliseconds)
        timer.advance(1.seconds)
        assertTrue(view(directory).suspected)
        assertNull(view(directory).report)
        resume.countDown()
        threads.shutdown()
    }

    @Test
    fun `a poll that finds no thread is tried again`() {
        var full = true
        val directory = start(Executor { if (full) throw RejectedExecutionException() else it.run() })
        assertNull(view(directory).report)
        full = false
        timer.advance(250.milliseconds)
        assertEquals(1, view(directory).report?.sequence)
    }

    @Test
    fun `the platform's word marks an upstream as leaving within a second and is told to the others`() {
        val directory = start()
        vms = persistentListOf(vm(name(1), leaving = true))
        timer.advance(1.seconds)
        assertTrue(view(directory).leaving)
        assertEquals(setOf(address(name(1))), exchange.told)
        vms = persistentListOf(vm(name(1), leaving = false))
        timer.advance(1.seconds)
        assertFalse(view(directory).leaving)
        assertEquals(emptySet(), exchange.told)
    }

    @Test
    fun `another node's word marks an upstream as leaving at the next tick and is not repeated`() {
        val directory = start()
        exchange.heardLeaving = setOf(address(name(1)))
        timer.advance(250.milliseconds)
        assertTrue(view(directory).leaving)
        vms = persistentListOf(vm(name(1), leaving = true))
        timer.advance(1.seconds)
        assertEquals(emptySet(), exchange.told)
    }

    @Test
    fun `the word stands while the platform's list does not answer`() {
        val directory = start()
        vms = persistentListOf(vm(name(1), leaving = true))
        timer.advance(1.seconds)
        listAnswers = false
        timer.advance(60.seconds)
        assertTrue(view(directory).leaving)
    }

    @Test
    fun `an upstream that the configuration drops is gone at once`() {
        val directory = start()
        configuration.set(listOf(name(2)))
        assertEquals(setOf(name(2)), directory.views().keys)
    }

    @Test
    fun `each upstream is polled by as many nodes as set and the others hear of it`() {
        exchange.nodes = (1..6).map { "node-$it" }.toPersistentList()
        val settings = DirectorySettings(watchersPerUpstream = 2)
        val watched =
            exchange.nodes.flatMap { node ->
                exchange.self = node
                engines.values.forEach { it.polls = 0 }
                start(settings = settings).close()
                engines.filterValues { it.polls > 0 }.keys
            }
        assertEquals(engines.keys.associateWith { 2 }, watched.groupingBy { it }.eachCount())
        assertEquals(engines.keys, exchange.published)
    }

    @Test
    fun `what another node tells fills in for an upstream that this node does not watch`() {
        exchange.nodes = persistentListOf("other")
        exchange.self = "self"
        exchange.heard = mapOf(name(1) to ObservedReport(name(1), report(sequence = 3), timer.now()))
        val directory = start(settings = DirectorySettings(watchersPerUpstream = 1))
        assertEquals(3, view(directory).report?.sequence)
        assertEquals(0, engines.getValue(name(1)).polls)
    }

    private var listAnswers = true

    private fun start(
        executor: Executor = Executor { it.run() },
        settings: DirectorySettings = DirectorySettings(),
    ): PollingUpstreamDirectory {
        val directory =
            PollingUpstreamDirectory(
                configuration,
                { name, _ -> engines.getValue(name) },
                { _, _ -> true },
                { if (listAnswers) VmListResult.Listed(vms) else VmListResult.Unavailable("outage") },
                exchange,
                timer,
                executor,
                settings,
            )
        directory.start()
        return directory
    }

    private fun view(directory: UpstreamDirectory) = directory.views().getValue(name(1))

    private fun vm(
        name: UpstreamName,
        leaving: Boolean,
    ) = VmEntry(address(name) + "/", FailureDomain("bergamo"), VmKind.UPSTREAM, leaving)

    private class FakeConfiguration : ConfigurationSource {
        private val listeners = mutableListOf<(NumberedConfiguration) -> Unit>()
        override var current: NumberedConfiguration? = null

        init {
            set((1..4).map(::name))
        }

        override fun subscribe(listener: (NumberedConfiguration) -> Unit) {
            listeners += listener
        }

        fun set(names: List<UpstreamName>) {
            val upstreams =
                names
                    .associateWith { UpstreamSpecification(address(it), FailureDomain("bergamo"), UpstreamKind.ENGINE) }
                    .toPersistentMap()
            val next = NumberedConfiguration(ConfigurationVersion(1), Configuration(upstreams = upstreams))
            current = next
            listeners.forEach { it(next) }
        }
    }

    private class FakeExchange : UpstreamExchange {
        override var self = "self"
        var nodes: PersistentList<String> = persistentListOf("self")
        var told = emptySet<String>()
        var heardLeaving = emptySet<String>()
        var heard = emptyMap<UpstreamName, ObservedReport>()
        val published = mutableSetOf<UpstreamName>()

        override fun nodes() = nodes

        override fun publish(report: ObservedReport) {
            published += report.upstream
        }

        override fun observations() = heard

        override fun publishLeaving(
            address: String,
            leaving: Boolean,
        ) {
            told = if (leaving) told + address else told - address
        }

        override fun leavingAddresses() = heardLeaving + told
    }

    private class FakeEngine : ModelEngine {
        @Volatile
        var report: EngineReport? = PollingUpstreamDirectoryTest.report()
        var delay: () -> Unit = {}
        var polls = 0

        override fun report(): EngineReportResult {
            polls++
            delay()
            return report?.let { EngineReportResult.Reported(it) } ?: EngineReportResult.Unavailable("down")
        }

        override fun generate(
            request: GenerationRequest,
            silenceLimit: Duration,
            receiver: TokenReceiver,
        ) = GenerationEnd.Broken("unused")

        override fun cancel(
            request: RequestIdentifier,
            attempt: AttemptNumber,
        ) = Unit

        override fun order(order: EngineOrder) = OrderResult.Accepted

        override fun cacheEvents(from: Long): PersistentList<CacheEvent> = persistentListOf()
    }

    private companion object {
        fun name(number: Int) = UpstreamName("engine-$number")

        fun address(name: UpstreamName) = "http://$name"

        fun report(
            sequence: Long = 1,
            ageMilliseconds: Long = 0,
            incarnation: String = "first",
        ) = EngineReport(incarnation, sequence, ageMilliseconds, FenceNumber.NONE)
    }
}
