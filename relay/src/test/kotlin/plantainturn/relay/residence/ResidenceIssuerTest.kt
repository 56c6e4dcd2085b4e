package plantainturn.relay.residence

import org.junit.jupiter.api.Test
import plantainturn.connection.log.LogOffset
import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.connection.roster.RetryAfterTracker
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.store.KeyedValue
import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.StoreAppendResult
import plantainturn.connection.store.StorePosition
import plantainturn.connection.store.StoreReadResult
import plantainturn.connection.store.TopicName
import plantainturn.process.control.lease.HolderIdentifier
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.residence.EngineReading
import plantainturn.process.control.residence.SequencedOrder
import plantainturn.process.control.residence.SequencedOrderResult
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.request.InstanceNotices
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ResidenceIssuerTest {
    private val timer = VirtualTimerService()

    /**
     * Guards against more than 14 loads from the weight store in five seconds. A new issuer that has not given orders
     * yet must not report an empty list in place of the loads that it was told of.
     */
    @Test
    fun `a new issuer still reports the loads of the previous issuer before its first orders`() {
        val lease = StoreLease(SilentStore, HolderIdentifier("node"), "127.0.0.1:1", timer, { 0 })
        val roster = InstanceRoster()
        val notices = InstanceNotices(roster, RetryAfterTracker(), RequestLimitTracker(), timer) { }
        val issuer = ResidenceIssuer(lease, "node", roster, NoRouting, SilentEngines, timer, 5.seconds, notices)
        val loads = listOf(timer.now())

        issuer.onReportedLoads(loads)

        assertEquals(loads, issuer.recentLoads())
    }

    private object NoRouting : RoutingSource {
        override val current: RoutingConfiguration? = null
    }

    private object SilentStore : RecordStore {
        override fun appendAll(
            topic: TopicName,
            records: List<KeyedValue>,
            at: StorePosition?,
            done: (StoreAppendResult) -> Unit,
        ) = Unit

        override fun readNewest(
            topic: TopicName,
            done: (StoreReadResult) -> Unit,
        ) = Unit

        override fun read(
            topic: TopicName,
            from: LogOffset,
            wait: Duration,
            done: (StoreReadResult) -> Unit,
        ) = Unit
    }

    private object SilentEngines : EngineControl {
        override fun read(
            engine: UpstreamInstance,
            done: (EngineReading?, InstanceNotice) -> Unit,
        ) = Unit

        override fun order(
            engine: UpstreamInstance,
            order: SequencedOrder,
            holder: String,
            done: (SequencedOrderResult, InstanceNotice) -> Unit,
        ) = Unit
    }
}
