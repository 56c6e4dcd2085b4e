package plantainturn.process.control.lease.internal

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import plantainturn.process.control.lease.ControlEntry

/** The result of decoding a payload of a control stream. */
internal sealed interface DecodedEntry {
    data class Known(
        val entry: ControlEntry,
    ) : DecodedEntry

    /** The payload has a rule version or an entry that this build does not know. */
    data class UnknownRule(
        val rule: String,
    ) : DecodedEntry

    /** The payload is not a control entry. Every reader skips it. */
    data object Malformed : DecodedEntry
}

/** Encodes and decodes the payloads of control streams: a JSON object with the rule version and the entry. */
internal object ControlCodec {
    private const val RULE_VERSION = 1
    private const val RULE_FIELD = "rule"
    private const val ENTRY_FIELD = "entry"
    private val json = Json { encodeDefaults = true }

    fun encode(entry: ControlEntry): String {
        val document =
            buildJsonObject {
                put(RULE_FIELD, RULE_VERSION)
                put(ENTRY_FIELD, json.encodeToJsonElement(ControlEntry.serializer(), entry))
            }
        return document.toString()
    }

    fun decode(payload: String): DecodedEntry {
        val document = parse(payload) ?: return DecodedEntry.Malformed
        val rule = document[RULE_FIELD] ?: return DecodedEntry.Malformed
        val number = (rule as? JsonPrimitive)?.intOrNull
        val entry = document[ENTRY_FIELD]?.takeIf { number == RULE_VERSION }
        return entry?.let(::decodeEntry) ?: DecodedEntry.UnknownRule(rule.toString())
    }

    private fun decodeEntry(entry: JsonElement): DecodedEntry? =
        try {
            DecodedEntry.Known(json.decodeFromJsonElement(ControlEntry.serializer(), entry))
        } catch (_: IllegalArgumentException) {
            null
        }

    private fun parse(payload: String): JsonObject? =
        try {
            json.parseToJsonElement(payload) as? JsonObject
        } catch (_: SerializationException) {
            null
        }
}
