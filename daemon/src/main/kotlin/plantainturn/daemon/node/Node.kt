package plantainturn.daemon.node

import io.javalin.Javalin
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.logging.log4j.LogManager
import plantainturn.connection.log.TimerPause
import plantainturn.daemon.caller.RequestExecutor
import plantainturn.daemon.caller.RequestIdentifiers
import plantainturn.daemon.http.BoundListener
import plantainturn.daemon.http.HttpLimits
import plantainturn.daemon.http.HttpServers
import plantainturn.daemon.operator.ConfigurationEndpoint
import plantainturn.daemon.operator.OperatorApi
import plantainturn.daemon.peer.PeerApi
import plantainturn.daemon.settings.NodeSettings
import plantainturn.process.time.SystemTimerService
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One node: its parts, its servers, and how it starts and stops. */
internal class Node(
    private val settings: NodeSettings,
) {
    private val logger = LogManager.getLogger(Node::class.java)
    private val timer = SystemTimerService(TIMER_THREADS)
    private val random = Random(SecureRandom().nextLong())
    private val incarnation = "${settings.name}-${random.nextLong().toULong().toString(RADIX)}"
    private val identifiers = RequestIdentifiers(incarnation)
    private val registry = PrometheusRegistry()
    private val callerListener = BoundListener.bind(settings.callers)
    private val controlListener = BoundListener.bind(settings.control)
    private val controlAddress = "http://${settings.control.address}:${controlListener.port}"
    private val parts = NodeParts(settings, controlAddress, incarnation, timer, random)
    private val readiness = Readiness(parts.version.follower)
    private val health = HealthApi(readiness, registry)
    private val callerServer = createCallerServer()
    private val controlServer = createControlServer()

    /** Starts the node and returns the line that names its ports. */
    fun start(): String {
        parts.start()
        controlServer.start()
        callerServer.start()
        logger.info("Node {} listens", incarnation)
        return """{"callers":${callerListener.port},"control":${controlListener.port}}"""
    }

    /** Stops the node as planned: no running request is cut off. */
    fun stop() {
        logger.info("Node {} stops", incarnation)
        readiness.beginStop()
        parts.control.stop()
        TimerPause(timer).pause(settings.stop.balancerLagMilliseconds.milliseconds)
        finishRequests()
        callerServer.stop()
        parts.close()
        controlServer.stop()
        timer.close()
        logger.info("Node {} has stopped", incarnation)
        LogManager.shutdown()
    }

    private fun finishRequests() {
        val tracker = parts.requests.resources.tracker
        tracker.beginStop()
        if (!tracker.awaitIdle(timer, settings.stop.limitMilliseconds.milliseconds)) {
            logger.warn("Stopping with {} requests in flight: the limit has passed", tracker.inFlight)
        }
        val due = timer.now() + OWED_ENTRIES_LIMIT
        while (parts.claims.unwrittenEntries > 0 && timer.now() < due) TimerPause(timer).pause(OWED_ENTRIES_PAUSE)
    }

    private fun createCallerServer(): Javalin {
        val callers = CallerPart(settings.limits, parts, identifiers, RequestMetrics(registry))
        val limits = HttpLimits(CALLER_THREADS, settings.limits.bodyBytes, settings.limits.bodyMilliseconds)
        return HttpServers.create("callers", callerListener, limits) { config ->
            callers.api.register(config)
            health.registerProbes(config)
        }
    }

    private fun createControlServer(): Javalin {
        val executor = RequestExecutor(OPERATOR_REQUESTS)
        val configuration =
            ConfigurationEndpoint(parts.version.follower, parts.version.submitter, timer, executor)
        val operators =
            OperatorApi(settings.operatorTokenSha256, configuration, NodeDump.sources(parts), identifiers)
        val peers = PeerApi(settings.peerToken, parts.members.membership, parts.version.follower.records)
        val limits = HttpLimits(CONTROL_THREADS, CONTROL_BODY_BYTES, settings.limits.bodyMilliseconds)
        return HttpServers.create("control", controlListener, limits) { config ->
            operators.register(config)
            peers.register(config)
            health.registerProbes(config)
            health.registerMetrics(config)
        }
    }

    private companion object {
        const val RADIX = 36
        const val TIMER_THREADS = 3
        const val OPERATOR_REQUESTS = 16
        const val CALLER_THREADS = 64
        const val CONTROL_THREADS = 16
        const val CONTROL_BODY_BYTES = 4L * 1024 * 1024
        val OWED_ENTRIES_LIMIT = 5.seconds
        val OWED_ENTRIES_PAUSE = 50.milliseconds
    }
}
