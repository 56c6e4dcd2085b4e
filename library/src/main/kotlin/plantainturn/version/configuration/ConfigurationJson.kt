package plantainturn.version.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/** The JSON form of a configuration: what operators see and patch. */
public object ConfigurationJson {
    private val json = Json { encodeDefaults = true }

    /** Returns the JSON form of [configuration], with every default written out. */
    public fun encode(configuration: Configuration): JsonObject =
        json.encodeToJsonElement(Configuration.serializer(), configuration).jsonObject

    /**
     * Returns the configuration that [document] holds.
     *
     * @throws IllegalArgumentException if it holds none; [ConfigurationChecks] tells what is wrong
     */
    public fun decode(document: JsonObject): Configuration =
        json.decodeFromJsonElement(Configuration.serializer(), document)
}
