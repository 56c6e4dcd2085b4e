package plantainturn.benchmarks

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import plantainturn.version.configuration.ConfigurationFold
import plantainturn.version.configuration.ConfigurationPatch
import plantainturn.version.configuration.ConfigurationState
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.PatchIdentifier

/** Measures what one patch of a configuration costs each node. */
@State(Scope.Benchmark)
public open class ConfigurationFoldBenchmark {
    /** The number of models in the configuration. */
    @Param("20", "340")
    public var models: Int = 0

    private var state = ConfigurationState()

    /** Makes the configuration. */
    @Setup
    public fun prepare() {
        val specifications = List(models) { "model-$it" to modelOf(memoryMegabytes = 8_000) }
        val patch = buildJsonObject { put("models", JsonObject(specifications.toMap())) }
        state = ConfigurationFold.apply(ConfigurationState(), patchOf(patch, 0))
    }

    /** Judges one patch of one model. */
    @Benchmark
    public fun foldPatch(): ConfigurationState {
        val models = JsonObject(mapOf("model-1" to modelOf(memoryMegabytes = 9_000)))
        return ConfigurationFold.apply(state, patchOf(buildJsonObject { put("models", models) }, 1))
    }

    /** Writes the state of a snapshot. */
    @Benchmark
    public fun encodeSnapshot(): JsonElement = ConfigurationFold.encode(state)

    private fun modelOf(memoryMegabytes: Int): JsonObject =
        buildJsonObject { put("memoryMegabytes", JsonPrimitive(memoryMegabytes)) }

    private fun patchOf(
        mergePatch: JsonObject,
        madeAgainst: Long,
    ): ConfigurationPatch =
        ConfigurationPatch(
            PatchIdentifier("patch against $madeAgainst"),
            ConfigurationVersion(madeAgainst),
            mergePatch,
            "operator",
        )
}
