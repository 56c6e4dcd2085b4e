package plantainturn.connection.log

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull

/**
 * Writes and reads the payloads of the project's streams.
 *
 * A payload is a JSON object with the number of its rules and either entries or a part of a snapshot:
 * `{"rule":1,"entries":[…]}` or `{"rule":1,"snapshot":{…}}`. Any change of the entries' form or of what a fold makes of
 * them needs a new number.
 */
public object RecordCodec {
    private const val RULE = "rule"
    private const val ENTRIES = "entries"
    private const val SNAPSHOT = "snapshot"

    /** Returns the payload that holds [entries] under [rule]. */
    public fun encodeEntries(
        rule: Int,
        entries: List<JsonElement>,
    ): String = encode(rule, ENTRIES, JsonArray(entries))

    /** Returns the payload that holds the snapshot's [part] under [rule]. */
    public fun encodeSnapshot(
        rule: Int,
        part: SnapshotPart,
    ): String = encode(rule, SNAPSHOT, Json.encodeToJsonElement(SnapshotPart.serializer(), part))

    /** Reads [payload] by the rules numbered [knownRule]. */
    public fun decode(
        payload: String,
        knownRule: Int,
    ): RecordContent {
        val envelope = parse(payload) as? JsonObject ?: return RecordContent.Malformed("not a JSON object")
        val rule = integer(envelope[RULE]) ?: return RecordContent.Malformed("no rule number")
        if (rule != knownRule) return RecordContent.UnknownRule(rule)
        return decodeKnown(envelope)
    }

    private fun decodeKnown(envelope: JsonObject): RecordContent {
        val entries = envelope[ENTRIES]
        val snapshot = envelope[SNAPSHOT]
        return when {
            entries is JsonArray -> RecordContent.Entries(entries.toPersistentList())
            snapshot != null -> decodeSnapshot(snapshot)
            else -> RecordContent.Malformed("neither entries nor a snapshot")
        }
    }

    private fun decodeSnapshot(element: JsonElement): RecordContent =
        try {
            RecordContent.Snapshot(Json.decodeFromJsonElement(SnapshotPart.serializer(), element))
        } catch (exception: IllegalArgumentException) {
            RecordContent.Malformed("snapshot: ${exception.message}")
        }

    private fun encode(
        rule: Int,
        name: String,
        element: JsonElement,
    ): String {
        val envelope =
            buildJsonObject {
                put(RULE, JsonPrimitive(rule))
                put(name, element)
            }
        return envelope.toString()
    }

    private fun integer(element: JsonElement?): Int? {
        val primitive = element as? JsonPrimitive ?: return null
        return if (primitive.isString) null else primitive.intOrNull
    }

    private fun parse(payload: String): JsonElement? =
        try {
            Json.parseToJsonElement(payload)
        } catch (_: SerializationException) {
            null
        }
}
