package plantainturn.relay.peer

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.control.lease.HolderIdentifier
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.control.lease.StoreLeaseSettings
import plantainturn.process.time.ExecutorTimerService
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.relay.http.HttpClient
import plantainturn.relay.http.InternalHttpResponse
import plantainturn.relay.http.InternalHttpServer
import plantainturn.relay.node.InMemoryRecordStore
import plantainturn.relay.request.QuotaDecision
import plantainturn.request.quota.NodeQuotas
import plantainturn.request.quota.QuotaTerms
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.route.AccountQuota
import plantainturn.version.route.CallerLimits
import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.ClientAccounts
import plantainturn.version.route.QuotaUnit
import plantainturn.version.route.RouteTable
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class QuotaClientTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val timer = VirtualTimerService(Moment.ORIGIN + 1_000.seconds)
    private val store = InMemoryRecordStore(timer)
    private val port = ServerSocket(0, 1, LOOPBACK).use { it.localPort }
    private val routing = Routing()
    private val deskNode = Node("desk", "127.0.0.1:$port")
    private val otherNode = Node("other", "127.0.0.1:1")
    private val quota = AccountQuota(QuotaUnit.TOKENS, perSecond = 1_000.0, burst = 1_000.0, plainTokens = 200)
    private val account = ClientAccount(ClientAccountName("account"), urgency = null, quota)

    init {
        routing.current = configuration(ClientAccounts(persistentMapOf(), persistentMapOf(account.name to account)))
        timer.subscribe(50.milliseconds) { deskNode.lease.step(mayContend = true) }
        timer.advance(1.seconds)
    }

    @AfterEach
    fun close() {
        group.shutdownGracefully(1, 1_000, TimeUnit.MILLISECONDS).await()
    }

    @Test
    fun `the desk's own requests are granted from the common bucket and refused with the time until there is more`() {
        fill()

        assertEquals(QuotaDecision.Admitted, deskNode.admit(1_000))
        val refusal = assertIs<QuotaDecision.Exceeded>(deskNode.admit(1_000))
        assertEquals(true, refusal.retryAfter in 500.milliseconds..1_000.milliseconds, "$refusal")
        timer.advance(refusal.retryAfter + 1.milliseconds)
        assertEquals(QuotaDecision.Admitted, deskNode.admit(1_000))
    }

    /** Guards against two nodes that each use the whole quota. */
    @Test
    fun `requests of another node are granted by a call to the desk, and what was given back is granted again`() {
        listen()
        otherNode.learnIssuer()
        fill()

        assertEquals(QuotaDecision.Admitted, otherNode.admit(1_000))
        assertIs<QuotaDecision.Exceeded>(otherNode.admit(1_000))
        assertIs<QuotaDecision.Exceeded>(deskNode.admit(1_000))
        otherNode.client.giveBack(account, 1_000)
        otherNode.report()
        assertEquals(QuotaDecision.Admitted, otherNode.admit(900), "what was refused before is refused by the node")
    }

    @Test
    fun `without an answer of the desk a node without a share tells that it can't tell`() {
        otherNode.learnIssuer()

        assertIs<QuotaDecision.Unavailable>(otherNode.admit(1))
    }

    /** Guards against messages and work for quotas in deployments that have no accounts. */
    @Test
    fun `a configuration without accounts causes no field and no state`() {
        routing.current = configuration(accounts = null)

        assertNull(otherNode.client.createReport(whole = true))
        assertNull(deskNode.desk.report("node", "", share = 0.0, admitted = null))
        assertEquals(emptyMap(), deskNode.desk.levels)
    }

    @Test
    fun `an account without a quota is admitted without a message`() {
        assertEquals(QuotaDecision.Admitted, otherNode.admit(1_000_000, account.copy(quota = null)))
    }

    private fun fill() {
        deskNode.desk.levels
        timer.advance(2.seconds)
        deskNode.desk.levels
        timer.advance(2.seconds)
    }

    private fun listen() {
        val listening = CountDownLatch(1)
        val server = InternalHttpServer(loop)
        server.on("POST ${QuotaClient.PATH}") { body, done ->
            val wish = PeerMessage.decode(body, QuotaWish.serializer())
            val answer = deskNode.desk.ask(assertNotNull(wish))
            val text = Json.encodeToString(QuotaAnswer.serializer(), assertNotNull(answer))
            done(InternalHttpResponse(200, text.toByteArray()))
        }
        server.listen(SocketLocation("127.0.0.1", port)) { listening.countDown() }
        listening.await()
    }

    private fun configuration(accounts: ClientAccounts?) =
        RoutingConfiguration(
            ConfigurationVersion(1),
            RouteTable(persistentListOf()),
            persistentMapOf(),
            CallerLimits.INITIAL,
            accounts,
        )

    private class Routing : RoutingSource {
        override var current: RoutingConfiguration? = null
    }

    private inner class Node(
        private val name: String,
        address: String,
    ) {
        val lease =
            StoreLease(store, HolderIdentifier(name), address, timer, ::wallClock, StoreLeaseSettings())
        val desk = QuotaDesk(lease, routing, QuotaTerms(), timer) { 2 }
        val client =
            QuotaClient(
                name,
                lease,
                desk,
                NodeQuotas(Random(1)) { 0.0 },
                routing,
                HttpClient(loop, ExecutorTimerService(loop)),
                timer,
                QuotaMetrics(PrometheusRegistry()),
                lease::holderLocation,
            ) { false }

        fun learnIssuer() {
            lease.readHolder()
            timer.advance(1.seconds)
        }

        fun admit(
            cost: Long,
            of: ClientAccount = account,
        ): QuotaDecision? {
            val decisions = LinkedBlockingQueue<QuotaDecision>()
            loop.execute { client.admit(of, cost) { decisions += it } }
            return decisions.poll(10, TimeUnit.SECONDS)
        }

        fun report() {
            deskNode.desk.report(name, "", share = 0.0, client.createReport(whole = false))
        }
    }

    private fun wallClock(): Long = timer.now().nanoseconds / 1_000_000

    private companion object {
        val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}
