package plantainturn.version.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.RecordCodec
import plantainturn.connection.log.RecordContent

/** The configuration's rules written plainly: it keeps every version and every fate, and starts over each time. */
class NaiveConfiguration(
    patches: List<ConfigurationPatch>,
) {
    /** The configuration of each version. */
    val versions = mutableListOf(Configuration.EMPTY)

    /** The version that each accepted patch made. */
    val accepted = mutableMapOf<PatchIdentifier, Long>()

    private val judged = mutableSetOf<PatchIdentifier>()

    init {
        patches.forEach(::judge)
    }

    private fun judge(patch: ConfigurationPatch) {
        if (!judged.add(patch.identifier)) return
        if (patch.madeAgainst.number != versions.size - 1L) return
        val document = merge(ConfigurationJson.encode(versions.last()), patch.mergePatch) as JsonObject
        val check = ConfigurationChecks.check(document)
        if (check !is ConfigurationCheck.Passed) return
        versions += check.configuration
        accepted[patch.identifier] = versions.size - 1L
    }

    private fun merge(
        target: JsonElement?,
        patch: JsonElement,
    ): JsonElement {
        if (patch !is JsonObject) return patch
        val old = target as? JsonObject ?: JsonObject(emptyMap())
        val removed = patch.filterValues { it == JsonNull }.keys
        val kept = old - removed
        val changed = (patch - removed).mapValues { (name, value) -> merge(old[name], value) }
        return JsonObject(kept + changed)
    }

    companion object {
        /** Judges the patches in [records], which are all of the stream. */
        fun of(records: List<LogRecord>): NaiveConfiguration {
            val contents = records.map { RecordCodec.decode(it.payload, ConfigurationFold.rule) }
            val entries = contents.filterIsInstance<RecordContent.Entries>().flatMap { it.entries }
            return NaiveConfiguration(
                entries.map { Json.decodeFromJsonElement(ConfigurationPatch.serializer(), it) },
            )
        }
    }
}
