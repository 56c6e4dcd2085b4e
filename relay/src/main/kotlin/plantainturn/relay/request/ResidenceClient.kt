package plantainturn.relay.request

import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** Where requests ask for models and adapters that are resident nowhere. */
public interface ResidenceClient {
    /** Returns when [model] should be resident somewhere, null if no load of it is known. */
    public fun expectedArrival(model: ModelName): Duration?

    /**
     * Asks for [adapter] of [model] at one of [candidates], the best first.
     *
     * @param done gets the engine that holds it or will in a few milliseconds, or null if none can
     */
    public fun wantAdapter(
        service: ServiceName,
        model: ModelName,
        adapter: ModelName,
        candidates: List<UpstreamName>,
        done: (UpstreamName?) -> Unit,
    )
}
