package plantainturn.request.service.internal

import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.RequestResources
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.version.configuration.ServiceSpecification
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random

/** Chooses upstreams for calls: of two sampled at random, the one with fewer calls of this node in flight. */
internal class CallStarter(
    private val directory: UpstreamDirectory,
    private val resources: RequestResources,
    private val timer: TimerService,
    private val random: Random,
) {
    /** Acquires a permit for an attempt at an upstream that is not in [tried]. */
    fun start(
        specification: ServiceSpecification,
        tried: Set<UpstreamName>,
        fingerprint: RequestFingerprint,
    ): CallStartResult {
        val views = directory.views()
        val usable =
            specification.upstreams
                .filter { it !in tried }
                .mapNotNull { views[it] }
                .filter { !it.leaving }
        if (usable.isEmpty()) return refused(ResultCode.NO_UPSTREAM, "no upstream of the service takes calls")
        val preferred = usable.filter { !it.suspected }.ifEmpty { usable }
        for (view in lessLoadedOfTwoFirst(preferred)) {
            val permit = resources.usage.tryBegin(view.name, view.specification, timer.now()) ?: continue
            if (resources.quarantine.tryBegin(fingerprint, view.name)) return CallStartResult.Started(view, permit)
            permit.end(timer.now(), failed = false)
            return refused(ResultCode.QUARANTINED, "calls like this one broke off at upstreams")
        }
        return refused(ResultCode.OVERLOADED, "this node has as many calls in flight as it allows itself")
    }

    private fun lessLoadedOfTwoFirst(views: List<UpstreamView>): List<UpstreamView> {
        val shuffled = views.shuffled(random)
        val sampled = shuffled.take(SAMPLE_SIZE).sortedBy { inFlight(it) }
        return sampled + shuffled.drop(SAMPLE_SIZE)
    }

    private fun inFlight(view: UpstreamView): Int =
        resources.usage.read(view.name, view.specification, since = null, now = timer.now()).inFlight

    private fun refused(
        code: ResultCode,
        detail: String,
    ): CallStartResult = CallStartResult.Refused(DispatchResult.NotRun(code, detail))

    private companion object {
        const val SAMPLE_SIZE = 2
    }
}
