package plantainturn.version.configuration

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/**
 * What operators want: the models, adapters, upstreams, services and teams, and how outcomes are weighed.
 *
 * Each accepted patch makes one. Its JSON form is what `GET /configuration` returns and what patches change.
 */
@Serializable
public data class Configuration(
    val models: SerializableMap<ModelName, ModelSpecification> = persistentMapOf(),
    val adapters: SerializableMap<ModelName, AdapterSpecification> = persistentMapOf(),
    val upstreams: SerializableMap<UpstreamName, UpstreamSpecification> = persistentMapOf(),
    val services: SerializableMap<ServiceName, ServiceSpecification> = persistentMapOf(),
    val teams: SerializableMap<TeamName, TeamSpecification> = persistentMapOf(),
    val weightStore: WeightStoreLimits = WeightStoreLimits(),
    val objective: Objective = Objective(),
) {
    public companion object {
        /** The configuration that precedes every patch. */
        public val EMPTY: Configuration = Configuration()
    }
}
