package plantainturn.relay.residence

import plantainturn.process.control.residence.ResidenceAction
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Brings adapters to engines that hold their base models, for requests that wait for them.
 *
 * The least used adapter makes way, but none that was just brought for a request; one that requests use only if all
 * places of all engines that could take it are in use.
 */
internal class AdapterBringer(
    private val context: IssuerContext,
    private val session: IssuerSession,
    private val wants: AdapterWants,
    private val isCurrent: () -> Boolean,
) {
    private val grantedAt = HashMap<Triple<UpstreamName, ModelName, ModelName>, Moment>()

    /** Brings [adapter] to the first of [candidates] that can take it, and tells all that asked for it. */
    fun bring(
        fleet: EngineFleet,
        model: ModelName,
        adapter: ModelName,
        candidates: List<UpstreamName>,
        triesLeft: Int = TRIES,
    ) {
        val able = candidates.filter { canTakeAdapter(it, model) }
        val holding =
            able.firstOrNull {
                adapter in
                    session.ledgers
                        .getValue(it)
                        .residents[model]
                        .orEmpty()
            }
        val order =
            able
                .sortedBy { !canBeOrdered(it) }
                .filterNot { session.ledgers.getValue(it).isChanging }
                .mapNotNull { engine -> adapterStep(fleet, engine, model, adapter)?.let { engine to it } }
                .minByOrNull { (_, step) -> requestsAwaitedBy(step) }
        when {
            !isCurrent() || holding != null || triesLeft <= 0 || !context.lease.permitsOrders() ->
                wants.end(model, adapter, holding)
            order == null -> wants.end(model, adapter, null)
            else -> {
                val (target, step) = order
                session.give(fleet, target, step, "wanted by a request") { given ->
                    if (given && step.kind == ResidenceAction.Kind.LOAD) {
                        grantedAt[Triple(target, model, adapter)] = context.timer.now()
                        context.timer.schedule(LOAD_TIME) { wants.end(model, adapter, target) }
                    } else {
                        if (!given) noteRefused(target, step)
                        context.timer.schedule(if (given) Duration.ZERO else PAUSE) {
                            bring(fleet, model, adapter, candidates, triesLeft - 1)
                        }
                    }
                }
            }
        }
    }

    private fun canTakeAdapter(
        engine: UpstreamName,
        model: ModelName,
    ): Boolean {
        val ledger = session.ledgers[engine] ?: return false
        val instance = context.roster.instances[engine] ?: return false
        return model in ledger.residents &&
            session.leavingModel(engine, ledger) != model &&
            session.inquiries.answers(engine) &&
            !instance.leaving &&
            context.notices.restOf(instance) == null
    }

    /** An engine that was refused or did not answer is asked first; another one takes the adapter sooner. */
    private fun canBeOrdered(engine: UpstreamName): Boolean =
        session.ledgers.getValue(engine).let { !it.isChanging && !it.needsReading && !it.orderInFlight }

    /** The load, or the unload of the least used adapter to make room for it; null if all were just brought. */
    private fun adapterStep(
        fleet: EngineFleet,
        engine: UpstreamName,
        model: ModelName,
        adapter: ModelName,
    ): ResidenceAction? {
        val ledger = session.ledgers.getValue(engine)
        if (ledger.adapterCount() < fleet.adapterSlots) {
            return ResidenceAction(ResidenceAction.Kind.LOAD, model, adapter)
        }
        val now = context.timer.now()
        grantedAt.values.removeIf { now - it > PROTECTION }
        val held =
            ledger.residents
                .flatMap { (base, adapters) -> adapters.map { base to it } }
                .filter { Triple(engine, it.first, it.second) !in grantedAt }
        val least =
            held.minWithOrNull(
                compareBy({ context.adapterUse[it]?.running ?: 0 }, { context.adapterUse[it]?.worthPerSecond ?: 0.0 }),
            ) ?: return null
        return ResidenceAction(ResidenceAction.Kind.UNLOAD, least.first, least.second)
    }

    /** An engine that drops an adapter waits for the requests that use it, and takes no other one meanwhile. */
    private fun requestsAwaitedBy(step: ResidenceAction): Int {
        val adapter = step.adapter?.takeIf { step.kind == ResidenceAction.Kind.UNLOAD } ?: return 0
        return context.adapterUse[step.model to adapter]?.running ?: 0
    }

    /** An engine refuses to drop an adapter that a request uses; another one is chosen for a while. */
    private fun noteRefused(
        engine: UpstreamName,
        step: ResidenceAction,
    ) {
        val adapter = step.adapter ?: return
        if (step.kind == ResidenceAction.Kind.UNLOAD) {
            grantedAt[Triple(engine, step.model, adapter)] = context.timer.now()
        }
        session.inquiries.askSoon(engine)
    }

    private companion object {
        /** Adapters take 5 to 14 ms, more while many are on their way. */
        val LOAD_TIME = 16.milliseconds

        /** An engine answers its next order after about this. */
        val PAUSE = 10.milliseconds
        const val TRIES = 12

        /** The request for which an adapter was loaded has begun by then. */
        val PROTECTION = 700.milliseconds
    }
}
