package plantainturn.request.service.internal

import plantainturn.connection.service.ServiceCall
import plantainturn.connection.service.ServiceResult
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.process.ResultCode
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestResources
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.CrashVerdict
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.service.ServiceConnections
import plantainturn.request.service.ServiceRequest
import plantainturn.version.configuration.ServiceSpecification
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random

/** Sends calls to the upstreams of a service, trying one upstream after the other. */
internal class CallDispatcher(
    private val directory: UpstreamDirectory,
    private val connections: ServiceConnections,
    private val resources: RequestResources,
    private val timer: TimerService,
    random: Random,
    private val maximumAttempts: Int,
) {
    private val starter = CallStarter(directory, resources, timer, random)

    /**
     * Sends [request] until an upstream answers, no further attempt is permitted, or [deadline] passes.
     *
     * @param retryable whether a call that may have run may be sent again
     */
    fun dispatch(
        request: ServiceRequest,
        specification: ServiceSpecification,
        deadline: Moment,
        retryable: Boolean,
    ): DispatchResult {
        val fingerprint = RequestFingerprint.of(request.service, request.path, request.body)
        val tried = mutableSetOf<UpstreamName>()
        var result: DispatchResult =
            DispatchResult.NotRun(ResultCode.DEADLINE_PASSED_IN_QUEUE, "no time was left to call")
        while (mayAttempt(tried.size, deadline)) {
            when (val start = starter.start(specification, tried, fingerprint)) {
                is CallStartResult.Refused -> return if (tried.isEmpty()) start.result else result
                is CallStartResult.Started -> {
                    tried += start.view.name
                    result = combine(result, send(request, start, fingerprint, AttemptNumber(tried.size), deadline))
                }
            }
            if (isFinal(result, retryable)) return result
        }
        return result
    }

    private fun mayAttempt(
        tried: Int,
        deadline: Moment,
    ): Boolean {
        val now = timer.now()
        if (tried >= maximumAttempts || now >= deadline) return false
        return tried == 0 || resources.retryBudget.tryRetry(now)
    }

    private fun isFinal(
        result: DispatchResult,
        retryable: Boolean,
    ): Boolean = result is DispatchResult.Answered || result is DispatchResult.Unknown && !retryable

    private fun send(
        request: ServiceRequest,
        start: CallStartResult.Started,
        fingerprint: RequestFingerprint,
        attempt: AttemptNumber,
        deadline: Moment,
    ): ServiceResult {
        val view = start.view
        val call =
            ServiceCall(
                request = request.identifier,
                attempt = attempt,
                method = request.method,
                path = request.path,
                headers = request.headers,
                body = request.body,
                idempotencyKey = request.idempotencyKey,
                timeout = deadline - timer.now(),
            )
        var result: ServiceResult = ServiceResult.Unknown("the call failed in this node")
        try {
            result = connections.connect(request.service, view.name, view.specification).call(call)
        } finally {
            recordResult(result, start, fingerprint, timedOut = timer.now() >= deadline)
        }
        return result
    }

    private fun recordResult(
        result: ServiceResult,
        start: CallStartResult.Started,
        fingerprint: RequestFingerprint,
        timedOut: Boolean,
    ) {
        val upstream = start.view.name
        start.permit.end(timer.now(), failed = result !is ServiceResult.Answered)
        if (result is ServiceResult.Answered) directory.reportSuccess(upstream) else directory.reportFailure(upstream)
        when {
            result is ServiceResult.Answered -> resources.quarantine.succeeded(fingerprint, upstream)
            result is ServiceResult.Unknown && !timedOut ->
                resources.quarantine.broke(fingerprint, CrashEvidence(upstream, incarnation = null)) {
                    CrashVerdict.CONFIRMED
                }
            else -> resources.quarantine.ended(fingerprint, upstream)
        }
        if (result is ServiceResult.Answered) resources.retryBudget.recordSuccess()
    }

    private fun combine(
        before: DispatchResult,
        result: ServiceResult,
    ): DispatchResult =
        when (result) {
            is ServiceResult.Answered -> DispatchResult.Answered(result)
            is ServiceResult.Unknown -> DispatchResult.Unknown(result.reason)
            is ServiceResult.Unreachable ->
                before as? DispatchResult.Unknown
                    ?: DispatchResult.NotRun(ResultCode.RETRIES_EXHAUSTED_NOT_RUN, result.reason)
        }
}
