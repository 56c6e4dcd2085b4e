package plantainturn.relay.residence

import plantainturn.process.control.residence.ResidenceAction
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Loads adapters that requests wait for on engines that hold their base models.
 *
 * The least used adapter is evicted to make room, but never one that was just loaded for a request. An adapter that
 * running requests use is evicted only if every engine that could load the new one has all its places in use.
 */
internal class AdapterLoader(
    private val context: IssuerContext,
    private val session: IssuerSession,
    private val pendingLoads: PendingAdapterLoads,
    private val isCurrent: () -> Boolean,
) {
    private val protectedSince = HashMap<Triple<UpstreamName, ModelName, ModelName>, Moment>()

    /** Loads [adapter] on one of [candidates], preferring the earlier ones, and notifies all callers that want it. */
    fun load(
        fleet: EngineFleet,
        model: ModelName,
        adapter: ModelName,
        candidates: List<UpstreamName>,
        attemptsLeft: Int = MAXIMUM_ATTEMPTS,
    ) {
        val eligible = candidates.filter { canTakeAdapter(it, model) }
        val alreadyLoaded =
            eligible.firstOrNull {
                adapter in
                    session.ledgers
                        .getValue(it)
                        .residents[model]
                        .orEmpty()
            }
        val choice =
            eligible
                .sortedBy { !canAcceptOrder(it) }
                .filterNot { session.ledgers.getValue(it).isChanging }
                .mapNotNull { engine -> nextAction(fleet, engine, model, adapter)?.let { engine to it } }
                .minByOrNull { (_, action) -> requestsAwaitedBy(action) }
        when {
            !isCurrent() || alreadyLoaded != null || attemptsLeft <= 0 || !context.lease.permitsOrders() ->
                pendingLoads.complete(model, adapter, alreadyLoaded)
            choice == null -> pendingLoads.complete(model, adapter, null)
            else -> {
                val (target, action) = choice
                session.sendOrder(fleet, target, action, "wanted by a request") { accepted ->
                    if (accepted && action.kind == ResidenceAction.Kind.LOAD) {
                        protectedSince[Triple(target, model, adapter)] = context.timer.now()
                        context.timer.schedule(LOAD_TIME) { pendingLoads.complete(model, adapter, target) }
                    } else {
                        if (!accepted) onOrderRefused(target, action)
                        context.timer.schedule(if (accepted) Duration.ZERO else RETRY_DELAY) {
                            load(fleet, model, adapter, candidates, attemptsLeft - 1)
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
            model !in session.departingModels(engine, ledger) &&
            session.readSchedule.isResponsive(engine) &&
            !instance.leaving &&
            context.notices.restOf(instance) == null
    }

    /**
     * Returns whether [engine] can be sent an order at once. An engine that refused an order or did not answer one is
     * read first, so another engine loads the adapter sooner.
     */
    private fun canAcceptOrder(engine: UpstreamName): Boolean =
        session.ledgers.getValue(engine).let { !it.isChanging && !it.needsReading && !it.orderInFlight }

    /**
     * Returns the load of [adapter], or the unload of the least used adapter if there is no room for it; null if all
     * adapters were just loaded.
     */
    private fun nextAction(
        fleet: EngineFleet,
        engine: UpstreamName,
        model: ModelName,
        adapter: ModelName,
    ): ResidenceAction? {
        val ledger = session.ledgers.getValue(engine)
        val now = context.timer.now()
        if (ledger.hasAdapterPlace(fleet, now)) return ResidenceAction(ResidenceAction.Kind.LOAD, model, adapter)
        protectedSince.values.removeIf { now - it > PROTECTION_TIME }
        val evictable =
            ledger.residents
                .flatMap { (base, adapters) -> adapters.map { base to it } }
                .filter { Triple(engine, it.first, it.second) !in protectedSince }
        val leastUsed =
            evictable.minWithOrNull(
                compareBy({ context.adapterUse[it]?.running ?: 0 }, { context.adapterUse[it]?.worthPerSecond ?: 0.0 }),
            ) ?: return null
        return ResidenceAction(ResidenceAction.Kind.UNLOAD, leastUsed.first, leastUsed.second)
    }

    /**
     * Returns the number of requests that delay [action]: an engine that unloads an adapter waits for the requests that
     * use it, and loads no other adapter meanwhile.
     */
    private fun requestsAwaitedBy(action: ResidenceAction): Int {
        val adapter = action.adapter?.takeIf { action.kind == ResidenceAction.Kind.UNLOAD } ?: return 0
        return context.adapterUse[action.model to adapter]?.running ?: 0
    }

    /**
     * Protects the adapter whose unload was refused, so that another one is chosen for a while: an engine refuses to
     * unload an adapter that a request uses.
     */
    private fun onOrderRefused(
        engine: UpstreamName,
        action: ResidenceAction,
    ) {
        val adapter = action.adapter ?: return
        if (action.kind == ResidenceAction.Kind.UNLOAD) {
            protectedSince[Triple(engine, action.model, adapter)] = context.timer.now()
        }
        session.readSchedule.allowImmediateRead(engine)
    }

    private companion object {
        /** A load takes 5 to 14 ms, longer while many adapters are being loaded. */
        val LOAD_TIME = 16.milliseconds

        /** An engine answers its next order after about this time. */
        val RETRY_DELAY = 10.milliseconds
        const val MAXIMUM_ATTEMPTS = 12

        /** The request for which an adapter was loaded has started by then. */
        val PROTECTION_TIME = 700.milliseconds
    }
}
