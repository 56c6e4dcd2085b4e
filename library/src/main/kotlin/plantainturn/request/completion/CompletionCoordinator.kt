package plantainturn.request.completion

import org.apache.logging.log4j.LogManager
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.RequestResources
import plantainturn.request.admission.AdmissionTicket
import plantainturn.request.completion.internal.AttemptRunner
import plantainturn.request.completion.internal.AttemptStarter
import plantainturn.request.completion.internal.CompletionRun
import plantainturn.request.completion.internal.CompletionTarget
import plantainturn.request.completion.internal.EngineProbe
import plantainturn.request.completion.internal.RoutingIndexCache
import plantainturn.request.internal.LockedRandom
import plantainturn.request.routing.FirstTokenEstimator
import plantainturn.request.routing.Router
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.TeamSpecification
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Runs completion requests on the model engines.
 *
 * A request waits in the admission queue until an upstream has room and runs there. If its answer breaks off, it is
 * resumed at another upstream after the last token received. The calling thread is blocked until the request ends.
 * Every path releases the permits that it acquired.
 */
public class CompletionCoordinator(
    private val configuration: ConfigurationSource,
    directory: UpstreamDirectory,
    engines: EngineConnections,
    private val timer: TimerService,
    random: Random,
    private val settings: CompletionSettings = CompletionSettings(),
    private val resources: RequestResources = RequestResources(timer),
) : CompletionHandler {
    private val logger = LogManager.getLogger(CompletionCoordinator::class.java)
    private val starter = AttemptStarter(RoutingIndexCache(directory), routerOf(random), resources, timer)
    private val probe = EngineProbe(directory, engines)
    private val runner = AttemptRunner(directory, engines, resources.quarantine, probe, timer, settings)

    @Suppress("TooGenericExceptionCaught")
    override fun handle(
        request: CompletionRequest,
        receiver: AnswerReceiver,
    ): CompletionResult {
        if (!resources.tracker.tryBegin()) {
            return CompletionResult.Unanswered(ResultCode.STOPPING, "this node is stopping", RETRY_AFTER)
        }
        try {
            return handleTracked(request, receiver)
        } catch (exception: Exception) {
            logger.error("Request {} failed with an unexpected exception", request.identifier, exception)
            return CompletionResult.Unanswered(ResultCode.INTERNAL_FAULT, "this node met a fault of its own")
        } finally {
            resources.tracker.end()
        }
    }

    private fun handleTracked(
        request: CompletionRequest,
        receiver: AnswerReceiver,
    ): CompletionResult {
        val current =
            configuration.current?.configuration
                ?: return CompletionResult.Unanswered(
                    ResultCode.NOT_READY,
                    "no configuration was read yet",
                    RETRY_AFTER,
                )
        val target =
            CompletionTarget.of(current, request)
                ?: return CompletionResult.Unanswered(ResultCode.MODEL_UNKNOWN, "no model ${request.target}")
        resources.demand.recordArrival(request.target, timer.now())
        val assembler = StreamAssembler(request.identifier, receiver, request.maximumTokens)
        val ticket = ticketOf(current, request)
        return CompletionRun(request, target, ticket, assembler, starter, runner, resources, timer, settings).execute()
    }

    private fun ticketOf(
        configuration: Configuration,
        request: CompletionRequest,
    ): AdmissionTicket {
        val team = configuration.teams[request.team] ?: UNKNOWN_TEAM
        return AdmissionTicket(
            target = request.target,
            team = request.team,
            share = team.share,
            waitingLimit = team.waitingLimit,
            priority = request.priority,
            latestStart = request.deadline - settings.minimumRunTime,
        )
    }

    private fun routerOf(random: Random): Router {
        val estimate =
            FirstTokenEstimator(resources.ownDomain, resources.usage, resources.remoteSends, resources.prefixCache)
        return Router(estimate, resources.prefixCache, LockedRandom(random))
    }

    private companion object {
        val RETRY_AFTER = 1.seconds
        val UNKNOWN_TEAM = TeamSpecification(keySha256 = "")
    }
}
