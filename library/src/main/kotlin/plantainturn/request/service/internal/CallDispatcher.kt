package plantainturn.request.service.internal

import plantainturn.connection.service.ServiceCall
import plantainturn.connection.service.ServiceResult
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.service.ServiceConnections
import plantainturn.request.service.ServiceRequest
import plantainturn.version.configuration.ServiceSpecification
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random

/** Sends calls to the upstreams of a service, one upstream after the other. */
internal class CallDispatcher(
    private val directory: UpstreamDirectory,
    private val connections: ServiceConnections,
    private val timer: TimerService,
    private val random: Random,
    private val maximumAttempts: Int,
) {
    /**
     * Sends [request] until it is answered, has run or may have run, or [deadline] passes.
     *
     * @param repeatable whether a call that may have run may be sent again
     */
    fun dispatch(
        request: ServiceRequest,
        specification: ServiceSpecification,
        deadline: Moment,
        repeatable: Boolean,
    ): DispatchEnd {
        val tried = mutableSetOf<UpstreamName>()
        var end: DispatchEnd = DispatchEnd.NotRun(tried = 0)
        while (tried.size < maximumAttempts && timer.now() < deadline) {
            val view = choose(specification, tried) ?: return end
            tried += view.name
            val result = send(request, view, AttemptNumber(tried.size), deadline)
            end = combine(end, result, tried.size)
            if (end is DispatchEnd.Answered) return end
            if (end is DispatchEnd.Unknown && !repeatable) return end
        }
        return end
    }

    private fun choose(
        specification: ServiceSpecification,
        tried: Set<UpstreamName>,
    ): UpstreamView? {
        val views = directory.views()
        val usable =
            specification.upstreams
                .filter { it !in tried }
                .mapNotNull { views[it] }
                .filter { !it.leaving }
        return usable.filter { !it.suspected }.ifEmpty { usable }.randomOrNull(random)
    }

    private fun send(
        request: ServiceRequest,
        view: UpstreamView,
        attempt: AttemptNumber,
        deadline: Moment,
    ): ServiceResult {
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
        val result = connections.connect(request.service, view.name, view.specification).call(call)
        when (result) {
            is ServiceResult.Answered -> directory.reportSuccess(view.name)
            is ServiceResult.Unreachable, is ServiceResult.Unknown -> directory.reportFailure(view.name)
        }
        return result
    }

    private fun combine(
        before: DispatchEnd,
        result: ServiceResult,
        tried: Int,
    ): DispatchEnd =
        when (result) {
            is ServiceResult.Answered -> DispatchEnd.Answered(result)
            is ServiceResult.Unknown -> DispatchEnd.Unknown(result.reason)
            is ServiceResult.Unreachable -> before as? DispatchEnd.Unknown ?: DispatchEnd.NotRun(tried)
        }
}
