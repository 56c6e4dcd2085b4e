package plantainturn.version.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import plantainturn.connection.log.FoldResult
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.StreamFold
import plantainturn.process.ResultCode
import plantainturn.version.document.DocumentFault

/**
 * The rules by which patches make versions.
 *
 * A patch is accepted if and only if it was made against the version in force at its offset and its result passes the
 * [ConfigurationChecks]. The first occurrence of a patch counts: a copy gets the same fate for as long as that is kept,
 * and is then a conflict, because its version is no longer in force. The checks are part of the rules.
 */
public object ConfigurationFold : StreamFold<ConfigurationState, PatchVerdict> {
    private const val FAULTS_KEPT = 20

    override val rule: Int = 1

    override val initial: ConfigurationState = ConfigurationState()

    override fun apply(
        state: ConfigurationState,
        offset: LogOffset,
        entries: PersistentList<JsonElement>,
    ): FoldResult<ConfigurationState, PatchVerdict> {
        var now = state
        val verdicts = mutableListOf<PatchVerdict>()
        for (entry in entries) {
            val patch = decodePatch(entry) ?: continue
            now = apply(now, patch)
            verdicts += PatchVerdict(patch.identifier, now.fates.getValue(patch.identifier))
        }
        return FoldResult(now, verdicts.toPersistentList())
    }

    /** Returns the state after [patch]. */
    public fun apply(
        state: ConfigurationState,
        patch: ConfigurationPatch,
    ): ConfigurationState {
        if (patch.identifier in state.fates) return state
        if (patch.madeAgainst != state.current.version) return refuse(state, patch, ResultCode.CONFIGURATION_CONFLICT)
        val patched = MergePatch.apply(ConfigurationJson.encode(state.current.configuration), patch.mergePatch)
        return when (val check = ConfigurationChecks.check(patched as JsonObject)) {
            is ConfigurationCheck.Passed -> accept(state, patch, check.configuration)
            is ConfigurationCheck.Faulty -> refuse(state, patch, ResultCode.CONFIGURATION_INVALID, check.faults)
        }
    }

    override fun encode(state: ConfigurationState): JsonElement {
        val fates = state.fates.map { KeptFate(it.key, it.value) }
        val version = state.current.version
        val snapshot = Snapshot(version, ConfigurationJson.encode(state.current.configuration), fates)
        return Json.encodeToJsonElement(Snapshot.serializer(), snapshot)
    }

    override fun decode(element: JsonElement): ConfigurationState {
        val snapshot = Json.decodeFromJsonElement(Snapshot.serializer(), element)
        val current = NumberedConfiguration(snapshot.version, ConfigurationJson.decode(snapshot.configuration))
        return snapshot.fates.fold(
            ConfigurationState(current),
        ) { state, kept -> state.note(kept.identifier, kept.fate) }
    }

    private fun accept(
        state: ConfigurationState,
        patch: ConfigurationPatch,
        configuration: Configuration,
    ): ConfigurationState {
        val version = state.current.version.next()
        val changed = state.copy(current = NumberedConfiguration(version, configuration))
        return changed.note(patch.identifier, PatchFate.Accepted(version))
    }

    private fun refuse(
        state: ConfigurationState,
        patch: ConfigurationPatch,
        code: ResultCode,
        faults: List<DocumentFault> = emptyList(),
    ): ConfigurationState {
        val first = faults.take(FAULTS_KEPT).toPersistentList()
        return state.note(patch.identifier, PatchFate.Refused(code.number, state.current.version, first))
    }

    private fun decodePatch(entry: JsonElement): ConfigurationPatch? =
        try {
            Json.decodeFromJsonElement(ConfigurationPatch.serializer(), entry)
        } catch (_: IllegalArgumentException) {
            null
        }

    @Serializable
    private class Snapshot(
        val version: ConfigurationVersion,
        val configuration: JsonObject,
        val fates: List<KeptFate>,
    )

    @Serializable
    private class KeptFate(
        val identifier: PatchIdentifier,
        val fate: PatchFate,
    )
}
