package plantainturn.relay.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.relay.GenerationDemand
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.seconds

/**
 * This node's view of the instances: which are serving, and which models and adapters are resident where.
 *
 * Residence comes from the instances' entries. While the node that issues orders is reachable, its fresher data is
 * used instead.
 */
public class FleetView(
    private val roster: InstanceRoster,
    private val timer: TimerService,
) {
    private val listeners = ArrayList<() -> Unit>()
    private var issuerResidence: PersistentMap<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>> =
        persistentMapOf()
    private var issuerResidenceAt: Moment? = null
    private var byService: Map<ServiceName, List<UpstreamInstance>> = emptyMap()

    /** Registers [listener], which is called after every change. */
    public fun subscribe(listener: () -> Unit) {
        listeners += listener
    }

    /** Rebuilds the view after a change of the roster. */
    public fun onRosterChange() {
        byService = roster.serving().values.groupBy { it.service }
        listeners.forEach { it() }
    }

    /**
     * Applies residence data from the issuer of orders.
     *
     * @param changes models with their adapters by engine, null for an engine that the issuer no longer knows
     * @param whole whether [changes] names all engines that the issuer knows
     */
    public fun onResidence(
        changes: Map<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>?>,
        whole: Boolean,
    ) {
        issuerResidenceAt = timer.now()
        val updated = (if (whole) persistentMapOf() else issuerResidence).builder()
        for ((engine, models) in changes) if (models == null) updated.remove(engine) else updated[engine] = models
        val residence = updated.build()
        if (residence == issuerResidence) return
        issuerResidence = residence
        listeners.forEach { it() }
    }

    /** Records whether [adapter] of [model] is [present] at [engine]. */
    public fun onAdapter(
        engine: UpstreamName,
        model: ModelName,
        adapter: ModelName,
        present: Boolean,
    ) {
        val models = residentsOf(engine)
        val adapters = models[model] ?: return
        issuerResidence =
            issuerResidence.put(engine, models.put(model, if (present) adapters + adapter else adapters - adapter))
        listeners.forEach { it() }
    }

    /** Records that [engine] does not hold [model]. */
    public fun onAbsent(
        engine: UpstreamName,
        model: ModelName,
    ) {
        issuerResidence = issuerResidence.put(engine, residentsOf(engine).remove(model))
    }

    /** Records that [engine] does not hold what [demand] asks for: the adapter if it names one, otherwise the model. */
    public fun onMisdirected(
        engine: UpstreamName,
        demand: GenerationDemand,
    ) {
        val adapter = demand.adapter
        if (adapter == null) {
            onAbsent(engine, demand.model)
        } else {
            onAdapter(engine, demand.model, adapter, false)
        }
    }

    /** Returns the instances of [service] that may receive requests. */
    public fun instancesOf(service: ServiceName): List<UpstreamInstance> = byService[service].orEmpty()

    /** Returns the instance [name], or null if it is unknown or leaving. */
    public fun instance(name: UpstreamName): UpstreamInstance? = roster.instances[name]?.takeIf { !it.leaving }

    /** Returns the models that [engine] holds, with their adapters. */
    public fun residentsOf(engine: UpstreamName): PersistentMap<ModelName, PersistentSet<ModelName>> {
        val fresh = issuerResidenceAt?.let { timer.now() - it < ISSUER_RESIDENCE_MAX_AGE } ?: false
        val entry = roster.instances[engine]?.residents ?: persistentMapOf()
        val fromIssuer = issuerResidence[engine] ?: return entry
        return if (fresh) fromIssuer else entry.withAdaptersOf(fromIssuer)
    }

    private fun PersistentMap<ModelName, PersistentSet<ModelName>>.withAdaptersOf(
        other: PersistentMap<ModelName, PersistentSet<ModelName>>,
    ): PersistentMap<ModelName, PersistentSet<ModelName>> {
        val merged = builder()
        for ((model, adapters) in this) merged[model] = adapters + (other[model] ?: persistentSetOf())
        return merged.build()
    }

    private companion object {
        /** The time of several exchanges with the issuer; after it the entries in the store are fresher. */
        val ISSUER_RESIDENCE_MAX_AGE = 2.seconds
    }
}
