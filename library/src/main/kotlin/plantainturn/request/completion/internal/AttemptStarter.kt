package plantainturn.request.completion.internal

import kotlinx.collections.immutable.PersistentSet
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.RequestResources
import plantainturn.request.admission.AdmissionListener
import plantainturn.request.admission.AdmissionRefusal
import plantainturn.request.admission.AdmissionTicket
import plantainturn.request.admission.StartResult
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.routing.RouteDecision
import plantainturn.request.routing.RouteQuery
import plantainturn.request.routing.Router
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

/** Acquires an upstream and a send permit for an attempt through the admission queue. */
internal class AttemptStarter(
    private val index: RoutingIndexCache,
    private val router: Router,
    private val resources: RequestResources,
    private val timer: TimerService,
) {
    /** Blocks the calling thread until an attempt for [target] may start or is refused. */
    fun await(
        ticket: AdmissionTicket,
        target: CompletionTarget,
        fingerprint: RequestFingerprint,
        tried: PersistentSet<UpstreamName>,
    ): AttemptStartResult {
        val result = CompletableFuture<AttemptStartResult>()
        val avoided = tried.addAll(resources.quarantine.upstreamsToAvoid(fingerprint))
        val query = RouteQuery(ticket.target, target.prefixes, avoided)
        resources.admission.submit(ticket, QueuedAttempt(query, target.baseModel, fingerprint, result))
        return result.get()
    }

    private inner class QueuedAttempt(
        private val query: RouteQuery,
        private val baseModel: ModelName?,
        private val fingerprint: RequestFingerprint,
        private val result: CompletableFuture<AttemptStartResult>,
    ) : AdmissionListener {
        override fun tryStart(): StartResult {
            val confinement = resources.quarantine.confinementOf(fingerprint)
            val confined = query.copy(confinedTo = confinement)
            return when (val decision = router.route(index.read(), confined, baseModel, timer.now())) {
                is RouteDecision.Chosen -> start(decision)
                is RouteDecision.Busy, is RouteDecision.Pending -> StartResult.Busy
                is RouteDecision.NoHolder ->
                    StartResult.Refused(if (confinement.isEmpty()) noUpstream() else quarantined())
            }
        }

        override fun refused(refusal: AdmissionRefusal) {
            result.complete(AttemptStartResult.Refused(refusal))
        }

        private fun start(decision: RouteDecision.Chosen): StartResult {
            val view = decision.upstream
            val now = timer.now()
            val permit = resources.usage.tryBegin(view.name, view.specification, now) ?: return StartResult.Busy
            if (!resources.quarantine.tryBegin(fingerprint, view.name, view.report?.incarnation)) {
                permit.end(now, failed = false)
                return StartResult.Refused(quarantined())
            }
            resources.prefixCache.recordSend(view.name, query.prefixes, now)
            result.complete(AttemptStartResult.Started(view, permit))
            return StartResult.Started
        }
    }

    private fun noUpstream(): AdmissionRefusal =
        AdmissionRefusal(ResultCode.NO_UPSTREAM, "no upstream that takes work holds the model", 1.seconds)

    private fun quarantined(): AdmissionRefusal =
        AdmissionRefusal(ResultCode.QUARANTINED, "requests like this one broke off at upstreams", 10.seconds)
}
