package plantainturn.daemon.node

import io.javalin.Javalin
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.log.TimerPause
import plantainturn.daemon.caller.RequestExecutor
import plantainturn.daemon.caller.RequestIdentifiers
import plantainturn.daemon.http.HttpLimits
import plantainturn.daemon.http.HttpServers
import plantainturn.daemon.operator.ConfigurationEndpoint
import plantainturn.daemon.operator.DumpSource
import plantainturn.daemon.operator.OperatorApi
import plantainturn.daemon.settings.NodeSettings
import plantainturn.process.control.controller.ControllerState
import plantainturn.process.time.SystemTimerService
import plantainturn.request.RequestResources
import plantainturn.request.claim.LogClaimService
import plantainturn.version.configuration.NumberedConfiguration
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** One node: its state for the life of the process, its servers, and how it starts and stops. */
internal class Node(
    private val settings: NodeSettings,
) {
    private val logger = LogManager.getLogger(Node::class.java)
    private val timer = SystemTimerService()
    private val random = Random(SecureRandom().nextLong())
    private val incarnation = "${settings.name}-${random.nextLong().toULong().toString(RADIX)}"
    private val identifiers = RequestIdentifiers(incarnation)
    private val registry = PrometheusRegistry()
    private val platform = Platform(settings)
    private val version = VersionPart(platform, incarnation, timer, { emptyList() }, { 0 })
    private val directory = PolledUpstreams(version.follower, platform.upstreams, timer)
    private val claims = LogClaimService(platform.log, "$incarnation/claims", timer)
    private val resources = RequestResources(timer, settings.failureDomain)
    private val control =
        ControlPart(settings, platform, incarnation, timer, version.follower, directory) {
            resources.demand.snapshot(timer.now()) { 0 }
        }
    private val callers =
        CallerPart(
            settings.limits,
            platform,
            version.follower,
            directory,
            claims,
            resources,
            timer,
            random,
            identifiers,
            RequestMetrics(registry),
        )
    private val readiness = Readiness(version.follower)
    private val health = HealthApi(readiness, registry)
    private val operators =
        OperatorApi(
            settings.operatorTokenSha256,
            ConfigurationEndpoint(version.follower, version.submitter, timer, RequestExecutor(OPERATOR_REQUESTS)),
            dumpSources(),
            identifiers,
        )
    private val callerServer: Javalin =
        HttpServers.create("callers", settings.callers, callerLimits()) { config ->
            callers.api.register(config)
            health.registerProbes(config)
        }
    private val controlServer: Javalin =
        HttpServers.create("control", settings.control, controlLimits()) { config ->
            operators.register(config)
            health.registerProbes(config)
            health.registerMetrics(config)
        }

    /** Starts the node and returns the line that names its ports. */
    fun start(): String {
        version.start()
        directory.start()
        claims.start()
        control.controller.start()
        controlServer.start()
        callerServer.start()
        logger.info("Node {} listens", incarnation)
        return """{"callers":${callerServer.port()},"control":${controlServer.port()}}"""
    }

    /** Stops the node as planned: no running request is cut off. */
    fun stop() {
        logger.info("Node {} stops", incarnation)
        readiness.beginStop()
        control.stop()
        TimerPause(timer).pause(settings.stop.balancerLagMilliseconds.milliseconds)
        resources.tracker.beginStop()
        resources.tracker.awaitIdle(timer, settings.stop.limitMilliseconds.milliseconds)
        callerServer.stop()
        controlServer.stop()
        claims.close()
        version.close()
        timer.close()
        logger.info("Node {} has stopped", incarnation)
        LogManager.shutdown()
    }

    private fun callerLimits() = HttpLimits(CALLER_THREADS, settings.limits.bodyBytes, settings.limits.bodyMilliseconds)

    private fun controlLimits() = HttpLimits(CONTROL_THREADS, CONTROL_BODY_BYTES, settings.limits.bodyMilliseconds)

    private fun dumpSources() =
        listOf(
            DumpSource("configuration") {
                val current = version.follower.current ?: NumberedConfiguration.NONE
                Json.encodeToJsonElement(NumberedConfiguration.serializer(), current)
            },
            DumpSource("control") {
                Json.encodeToJsonElement(ControllerState.serializer(), control.controller.state())
            },
        )

    private companion object {
        const val RADIX = 36
        const val OPERATOR_REQUESTS = 16
        const val CALLER_THREADS = 64
        const val CONTROL_THREADS = 16
        const val CONTROL_BODY_BYTES = 4L * 1024 * 1024
    }
}
