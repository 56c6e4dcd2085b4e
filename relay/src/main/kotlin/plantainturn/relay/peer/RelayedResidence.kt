package plantainturn.relay.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** Which models and adapters the engines hold, as a message carries it; null stands for an engine that has gone. */
internal object RelayedResidence {
    /** Returns [residence] as text: the adapters by model, by engine. */
    fun encode(
        residence: Map<UpstreamName, Map<ModelName, Set<ModelName>>?>,
    ): Map<String, Map<String, List<String>>?> =
        residence
            .map { (engine, models) ->
                engine.value to
                    models?.map { (model, adapters) -> model.value to adapters.map { it.value } }?.toMap()
            }.toMap()

    /** Returns what [encode] was given. */
    fun decode(
        encoded: Map<String, Map<String, List<String>>?>,
    ): Map<UpstreamName, PersistentMap<ModelName, PersistentSet<ModelName>>?> =
        encoded
            .map { (engine, models) ->
                val decoded =
                    models?.map { (model, adapters) ->
                        ModelName(model) to adapters.map(::ModelName).toPersistentSet()
                    }
                UpstreamName(engine) to decoded?.toMap()?.toPersistentMap()
            }.toMap()
}
