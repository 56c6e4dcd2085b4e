package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.relay.DispatchCandidate
import plantainturn.request.relay.DispatchDecision
import plantainturn.request.relay.DispatchQuery
import plantainturn.request.relay.GenerationDemand
import plantainturn.request.relay.PermitRequest
import plantainturn.request.relay.RequestWork
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.ServiceDefinition
import kotlin.time.Duration

/** Selects an instance for one request, based on this node's view of the instances. */
internal class RelayPlacement(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val service: ServiceDefinition,
    private val fingerprint: RequestFingerprint,
    private val account: RequestAccount,
) {
    /**
     * Returns the next step for the request.
     *
     * Instances at which the same request broke off are used only if there is no other. A request that is bound to a
     * software version waits for no model, as models are loaded without regard to versions.
     *
     * @param denied instances for which the request was denied a permit
     * @param avoided instances that refused or failed the request, or to which it could not be sent
     * @param mayHaveRun whether the request may have run at one of [avoided], so that it must not be sent there again
     */
    fun find(
        avoided: Set<UpstreamName>,
        mayHaveRun: Boolean,
        denied: Set<UpstreamName>,
        times: RequestTimeBudget,
        constraint: VersionConstraint,
    ): PlacementStep {
        val permitted =
            permitted(avoided, mayHaveRun, constraint).map {
                Option(it, PermitTerms(account.urgency, patience(it, denied, times)))
            }
        val withoutCrash = permitted.filterNot { context.crashes.brokeAt(fingerprint, it.instance) }
        val step = find(withoutCrash, times)
        val found = if (step.hasNoCandidate && withoutCrash.size < permitted.size) find(permitted, times) else step
        val waitsForModel = found is PlacementStep.NeedsModel && constraint != VersionConstraint.None
        return if (waitsForModel) NO_CANDIDATE else found
    }

    private fun find(
        permitted: List<Option>,
        times: RequestTimeBudget,
    ): PlacementStep {
        val demand = request.demand
        val engines = service.engines
        if (demand != null && engines != null) return findEngine(demand, permitted, query(times, engines.cacheTokens))
        val candidates = permitted.map { candidate(it, null) }
        return decided(context.serviceDispatch.decide(query(times, 0), candidates), candidates)
    }

    /** Returns whether an instance other than [tried] could take the request now, though it may not hold the model. */
    fun hasOther(
        tried: Set<UpstreamName>,
        constraint: VersionConstraint,
    ): Boolean =
        context.fleet.instancesOf(service.name).any {
            it.name !in tried &&
                constraint.permits(it) &&
                context.links.backoffOf(it, PermitTerms(account.urgency, Duration.ZERO)) == null
        }

    /** Returns whether an instance other than [tried] holds the model of the request, if the request has one. */
    fun isHeldElsewhere(tried: Set<UpstreamName>): Boolean {
        val model = request.demand?.model
        return context.fleet.instancesOf(service.name).any {
            it.name !in tried && (model == null || model in context.fleet.residentsOf(it.name))
        }
    }

    /** Returns the work that the request causes at [instance]. */
    fun workAt(instance: UpstreamName): RequestWork {
        val demand = request.demand ?: return RequestWork.NONE
        val unread = (demand.promptTokens - context.links.prompts.cachedTokens(instance, demand)).coerceAtLeast(0)
        val reading = context.timeEstimator.engineTime(demand.model, unread, outputTokens = 0)
        return RequestWork(unread, unread + demand.outputTokens, reading)
    }

    private fun findEngine(
        demand: GenerationDemand,
        permitted: List<Option>,
        query: DispatchQuery,
    ): PlacementStep {
        val holders = permitted.filter { demand.model in context.fleet.residentsOf(it.instance.name) }
        val withoutBackoff = holders.filter { context.links.backoffOf(it.instance, it.terms) == null }
        val adapter = demand.adapter
        val ready =
            if (adapter ==
                null
            ) {
                withoutBackoff
            } else {
                withoutBackoff.filter { holds(it.instance.name, demand.model, adapter) }
            }
        return when {
            ready.isNotEmpty() -> decideAmong(ready, demand, query)
            withoutBackoff.isNotEmpty() && adapter != null ->
                PlacementStep.NeedsAdapter(demand.model, adapter, rankByExpectedTime(withoutBackoff, demand, query))
            holders.isNotEmpty() -> decideAmong(holders, demand, query)
            else -> PlacementStep.NeedsModel(demand.model)
        }
    }

    private fun decideAmong(
        engines: List<Option>,
        demand: GenerationDemand,
        query: DispatchQuery,
    ): PlacementStep {
        val candidates = engines.map { candidate(it, demand) }
        return decided(context.engineDispatch.decide(query, candidates), candidates)
    }

    private fun decided(
        decision: DispatchDecision,
        candidates: List<DispatchCandidate>,
    ): PlacementStep {
        val unlimited = candidates.count { it.backoffRemaining == null && it.permitWait == null }
        return PlacementStep.Decided(decision, candidates.size, unlimited)
    }

    private fun holds(
        engine: UpstreamName,
        model: ModelName,
        adapter: ModelName,
    ): Boolean = adapter in context.fleet.residentsOf(engine)[model].orEmpty()

    private fun rankByExpectedTime(
        holders: List<Option>,
        demand: GenerationDemand,
        query: DispatchQuery,
    ): List<UpstreamName> =
        holders
            .map { candidate(it, demand) }
            .sortedWith(
                compareBy({
                    it.suspected
                }, { it.permitWait != null }, { context.engineDispatch.expectedFirstEvent(it, demand, query) }),
            ).map { it.name }

    private fun candidate(
        option: Option,
        demand: GenerationDemand?,
    ) = context.links.candidate(option.instance, demand, option.terms)

    /** Returns how long the request waits for a permit to be sent to [instance]. */
    private fun patience(
        instance: UpstreamInstance,
        denied: Set<UpstreamName>,
        times: RequestTimeBudget,
    ): Duration {
        val limit = context.links.permitRateOf(instance) ?: return Duration.ZERO
        if (instance.name in denied) return Duration.ZERO
        return PermitRequest.patience(times.objectiveLeft, times.timeLeft, limit)
    }

    private fun permitted(
        avoided: Set<UpstreamName>,
        mayHaveRun: Boolean,
        constraint: VersionConstraint,
    ): List<UpstreamInstance> {
        val allowed = context.fleet.instancesOf(service.name).filter(constraint::permits)
        return allowed.filter { it.name !in avoided }.ifEmpty { if (mayHaveRun) emptyList() else allowed }
    }

    private fun query(
        times: RequestTimeBudget,
        cacheTokens: Long,
    ): DispatchQuery =
        DispatchQuery(
            demand = request.demand,
            urgency = account.urgency,
            objectiveLeft = times.objectiveLeft,
            timeLeft = times.timeLeft,
            maximumRetryAfter = times.maximumRetryAfter,
            cacheCapacityTokens = cacheTokens,
            affinity =
                request.demand
                    ?.let { it.lastSharedPart ?: request.identifier.value }
                    .hashCode()
                    .toLong(),
            sharesPrompt = request.demand?.lastSharedPart != null,
        )

    /**
     * An instance that may take the request.
     *
     * @property terms on which the request waits for a permit to be sent there
     */
    private class Option(
        val instance: UpstreamInstance,
        val terms: PermitTerms,
    )

    private companion object {
        val NO_CANDIDATE = PlacementStep.Decided(DispatchDecision.NoCandidate, candidates = 0, unlimited = 0)
    }
}
