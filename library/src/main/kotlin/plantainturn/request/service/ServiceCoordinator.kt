package plantainturn.request.service

import org.apache.logging.log4j.LogManager
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.process.ResultCode
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.RequestResources
import plantainturn.request.claim.Claim
import plantainturn.request.claim.ClaimKey
import plantainturn.request.claim.ClaimOutcome
import plantainturn.request.claim.ClaimResult
import plantainturn.request.claim.ClaimService
import plantainturn.request.internal.LockedRandom
import plantainturn.request.internal.pause
import plantainturn.request.service.internal.CallDispatcher
import plantainturn.request.service.internal.DispatchResult
import plantainturn.request.service.internal.answerOf
import plantainturn.request.service.internal.callFingerprint
import plantainturn.request.service.internal.recordOf
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.ServiceSpecification
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs calls to plain services.
 *
 * An idempotent call may be sent again. Any other call runs at most once: it is sent to another upstream only if it
 * reached none so far. If it has an idempotency key, the key is claimed on the log before the call is dispatched and
 * settled afterwards.
 *
 * The caller gets its answer before the outcome is on the log. A planned stop also waits for the log.
 *
 * @param settlementExecutor runs the settlement or release of claims on the log after a call
 */
public class ServiceCoordinator(
    private val configuration: ConfigurationSource,
    directory: UpstreamDirectory,
    connections: ServiceConnections,
    private val claims: ClaimService,
    private val timer: TimerService,
    random: Random,
    private val settings: ServiceSettings = ServiceSettings(),
    private val resources: RequestResources = RequestResources(timer),
    private val settlementExecutor: Executor = newSettlementExecutor(),
) : ServiceHandler {
    private val logger = LogManager.getLogger(ServiceCoordinator::class.java)
    private val dispatcher =
        CallDispatcher(directory, connections, resources, timer, LockedRandom(random), settings.maximumAttempts)

    @Suppress("TooGenericExceptionCaught")
    override fun handle(request: ServiceRequest): ServiceOutcome {
        if (!resources.tracker.tryBegin()) {
            return ServiceOutcome.Unanswered(ResultCode.STOPPING, "this node is stopping", RETRY_AFTER)
        }
        try {
            return handleTracked(request)
        } catch (exception: Exception) {
            logger.error("Request {} failed with an unexpected exception", request.identifier, exception)
            return ServiceOutcome.Unanswered(ResultCode.INTERNAL_FAULT, "this node met a fault of its own")
        } finally {
            resources.tracker.end()
        }
    }

    private fun handleTracked(request: ServiceRequest): ServiceOutcome {
        val current =
            configuration.current?.configuration
                ?: return ServiceOutcome.Unanswered(ResultCode.NOT_READY, "no configuration was read yet", RETRY_AFTER)
        val specification =
            current.services[request.service]
                ?: return ServiceOutcome.Unanswered(ResultCode.SERVICE_UNKNOWN, "no service ${request.service}")
        val deadline = request.receivedAt + specification.timeoutMilliseconds.milliseconds
        val key = request.idempotencyKey
        val idempotent = request.method in specification.idempotentMethods
        return if (idempotent || key == null) {
            outcomeOf(dispatcher.dispatch(request, specification, deadline, retryable = idempotent))
        } else {
            runAtMostOnce(request, specification, deadline, ClaimKey(request.team, request.service, key))
        }
    }

    private fun runAtMostOnce(
        request: ServiceRequest,
        specification: ServiceSpecification,
        deadline: Moment,
        key: ClaimKey,
    ): ServiceOutcome {
        val fingerprint = callFingerprint(request)
        val waitDeadline = minOf(deadline, timer.now() + settings.keyWaitLimit)
        var result = claims.claim(key, fingerprint)
        while (result is ClaimResult.InProgress && timer.now() + settings.keyPollPeriod < waitDeadline) {
            pause(timer, settings.keyPollPeriod)
            result = claims.claim(key, fingerprint)
        }
        return when (result) {
            is ClaimResult.Granted -> dispatchClaimed(request, specification, deadline, result.claim)
            is ClaimResult.Settled -> outcomeFromRecord(result.outcome)
            is ClaimResult.InProgress ->
                ServiceOutcome.Unanswered(ResultCode.KEY_IN_PROGRESS, "the first run has not ended", RETRY_AFTER)
            is ClaimResult.Reused ->
                ServiceOutcome.Unanswered(ResultCode.KEY_REUSED, "the key belongs to another request")
            is ClaimResult.Expired ->
                ServiceOutcome.Unanswered(ResultCode.KEY_EXPIRED, "the key is older than the window")
            is ClaimResult.Unavailable ->
                ServiceOutcome.Unanswered(ResultCode.LOG_UNAVAILABLE, result.reason, RETRY_AFTER)
        }
    }

    private fun dispatchClaimed(
        request: ServiceRequest,
        specification: ServiceSpecification,
        deadline: Moment,
        claim: Claim,
    ): ServiceOutcome {
        val result = dispatcher.dispatch(request, specification, deadline, retryable = false)
        resources.tracker.beginFollowUp()
        settlementExecutor.execute {
            try {
                settle(claim, result)
            } finally {
                resources.tracker.end()
            }
        }
        return outcomeOf(result)
    }

    private fun settle(
        claim: Claim,
        result: DispatchResult,
    ): Unit =
        when (result) {
            is DispatchResult.Answered -> claims.settle(claim, recordOf(result.answer, settings.recordedBodyBytes))
            is DispatchResult.Unknown -> claims.settle(claim, ClaimOutcome.Unknown)
            is DispatchResult.NotRun -> claims.release(claim)
        }

    private fun outcomeFromRecord(outcome: ClaimOutcome): ServiceOutcome =
        when (outcome) {
            is ClaimOutcome.Answered ->
                ServiceOutcome.Answered(ResultCode.ANSWERED_FROM_RECORD, answerOf(outcome))
            is ClaimOutcome.Unknown ->
                ServiceOutcome.Unanswered(ResultCode.OUTCOME_UNKNOWN, "the key's first run may or may not have run")
        }

    private fun outcomeOf(result: DispatchResult): ServiceOutcome =
        when (result) {
            is DispatchResult.Answered -> ServiceOutcome.Answered(ResultCode.ANSWERED, result.answer)
            is DispatchResult.Unknown -> ServiceOutcome.Unanswered(ResultCode.OUTCOME_UNKNOWN, result.reason)
            is DispatchResult.NotRun -> ServiceOutcome.Unanswered(result.code, result.detail, RETRY_AFTER)
        }

    private companion object {
        const val SETTLEMENT_THREADS = 4
        val RETRY_AFTER = 1.seconds

        fun newSettlementExecutor(): Executor =
            Executors.newFixedThreadPool(SETTLEMENT_THREADS) { work ->
                Thread(work, "claim-settling").apply { isDaemon = true }
            }
    }
}
