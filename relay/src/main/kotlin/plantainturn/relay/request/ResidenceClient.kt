package plantainturn.relay.request

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** Requests models and adapters that are not resident at any engine. */
public interface ResidenceClient {
    /** Returns the expected time until [model] is resident at an engine, null if no load of it is known. */
    public fun expectedArrival(model: ModelName): Duration?

    /**
     * Requests [adapter] of [model] at one of [candidates], which are ordered by preference.
     *
     * @param done called with the engine that holds the adapter or will within milliseconds, or with null if none can
     */
    public fun wantAdapter(
        service: ServiceName,
        model: ModelName,
        adapter: ModelName,
        candidates: List<UpstreamName>,
        done: (UpstreamName?) -> Unit,
    )
}
