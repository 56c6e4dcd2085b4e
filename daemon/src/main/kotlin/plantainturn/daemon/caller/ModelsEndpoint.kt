package plantainturn.daemon.caller

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import plantainturn.version.configuration.Configuration

/** Lists the models and adapters that callers may name. */
internal object ModelsEndpoint {
    fun encode(configuration: Configuration): String =
        buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                val names = configuration.models.keys + configuration.adapters.keys
                for (name in names.sorted()) {
                    addJsonObject {
                        put("id", name.value)
                        put("object", "model")
                        put("owned_by", "plantainturn")
                        configuration.adapters[name]?.let { put("parent", it.baseModel.value) }
                    }
                }
            }
        }.toString()
}
