package plantainturn.standins.measurement

import io.javalin.http.Context
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Request
import okhttp3.Response
import plantainturn.connection.http.HttpClients
import plantainturn.process.membership.DemandGossip
import plantainturn.process.membership.GossipJson
import plantainturn.process.membership.GossipMembership
import plantainturn.process.membership.GossipValue
import plantainturn.process.membership.HttpPeerTransport
import plantainturn.process.membership.MembershipSettings
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.internal.StandInServer
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.NodeName
import plantainturn.version.placement.ModelDemand
import java.lang.management.ManagementFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Measures what membership costs a node, with all members in one process and real HTTP between them.
 *
 * Arguments: the numbers of members to measure, each for half a minute after all know each other. Prints one JSON
 * object a number: bytes that a node sends and receives a second, header lines included, and milliseconds of processor
 * time a second, the process's HTTP servers and clients included.
 */
public fun main(arguments: Array<String>) {
    arguments.map(String::toInt).forEach { GossipTraffic(it).use(GossipTraffic::measure) }
}

private class GossipTraffic(
    private val count: Int,
) : AutoCloseable {
    private val timer = SystemTimerService()
    private val bytes = AtomicLong()
    private val client =
        HttpClients
            .create()
            .newBuilder()
            .eventListener(ByteCounter(bytes))
            .build()
    private val server =
        StandInServer("127.0.0.1", 0) { config ->
            config.routes.post("/{member}/peer/gossip", ::receive)
        }
    private val port = server.start()
    private val random = Random(count)
    private val members = (0 until count).map(::member)
    private val demand = members.map { DemandGossip(it, timer, { drawDemand() }) }

    fun measure() {
        val began = timer.now()
        members.forEach { it.publish(GossipValue.NodeStatus(ready = true)) }
        members.forEach(GossipMembership::start)
        demand.forEach(DemandGossip::start)
        while (!agree()) pause(POLL)
        val agreed = timer.now() - began
        val before = bytes.get()
        val processorBefore = processorMilliseconds()
        pause(MEASURED)
        val seconds = MEASURED.toDouble(DurationUnit.SECONDS)
        val exchanged = (bytes.get() - before) / seconds / count
        val processor = (processorMilliseconds() - processorBefore) / seconds / count
        println(
            """{"members":$count,"agreedMilliseconds":${agreed.inWholeMilliseconds},""" +
                """"bytesPerNodeSecond":${(exchanged * 2).toLong()},"processorMillisecondsPerNodeSecond":$processor}""",
        )
    }

    override fun close() {
        demand.forEach(DemandGossip::close)
        members.forEach(GossipMembership::close)
        server.close()
        timer.close()
        client.dispatcher.executorService.shutdown()
    }

    private fun member(number: Int): GossipMembership {
        val settings =
            MembershipSettings(
                NodeName("node-$number"),
                address(number),
                FailureDomain("bergamo"),
                persistentListOf(address(0)),
            )
        return GossipMembership(settings, HttpPeerTransport(client, "token"), timer, Random(number))
    }

    private fun address(number: Int) = "http://127.0.0.1:$port/$number"

    private fun receive(context: Context) {
        val message = GossipJson.decode(context.body())
        if (message == null) {
            context.status(BAD_REQUEST)
            return
        }
        context.future {
            val answered = CompletableFuture<Unit>()
            members[context.pathParam("member").toInt()].receive(message) {
                context.result(GossipJson.encode(it))
                answered.complete(Unit)
            }
            answered
        }
    }

    private fun agree() = members.all { it.members().size == count }

    private fun drawDemand() =
        (0 until MODELS)
            .associate { ModelName("model-$it") to ModelDemand(random.nextDouble(), random.nextDouble()) }
            .toPersistentMap()

    private fun pause(duration: Duration) {
        val over = CountDownLatch(1)
        timer.schedule(duration) { over.countDown() }
        over.await()
    }

    private fun processorMilliseconds(): Double {
        val system = ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean
        return system.processCpuTime / NANOSECONDS_PER_MILLISECOND
    }

    private companion object {
        const val MODELS = 20
        const val BAD_REQUEST = 400
        const val NANOSECONDS_PER_MILLISECOND = 1e6
        val POLL = 50.milliseconds
        val MEASURED = 30.seconds
    }
}

/** Counts the bytes of the requests that a client sends and of the answers that it gets. */
private class ByteCounter(
    private val bytes: AtomicLong,
) : EventListener() {
    override fun requestHeadersEnd(
        call: Call,
        request: Request,
    ) {
        bytes.addAndGet(request.headers.byteCount() + REQUEST_LINE_BYTES + request.url.encodedPath.length)
    }

    override fun requestBodyEnd(
        call: Call,
        byteCount: Long,
    ) {
        bytes.addAndGet(byteCount)
    }

    override fun responseHeadersEnd(
        call: Call,
        response: Response,
    ) {
        bytes.addAndGet(response.headers.byteCount() + STATUS_LINE_BYTES)
    }

    override fun responseBodyEnd(
        call: Call,
        byteCount: Long,
    ) {
        bytes.addAndGet(byteCount)
    }

    private companion object {
        const val REQUEST_LINE_BYTES = 18L
        const val STATUS_LINE_BYTES = 19L
    }
}
