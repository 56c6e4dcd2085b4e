package plantainturn.connection.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ModelName

/** What an order asks an engine to do. */
@Serializable
public sealed interface EngineAction {
    /** Loads a base model. */
    @Serializable
    @SerialName("load-model")
    public data class LoadModel(
        val model: ModelName,
        val weightsVersion: String,
        val memoryMegabytes: Long,
    ) : EngineAction

    /** Loads an adapter of a resident base model. */
    @Serializable
    @SerialName("load-adapter")
    public data class LoadAdapter(
        val adapter: ModelName,
        val baseModel: ModelName,
        val weightsVersion: String,
        val memoryMegabytes: Long,
    ) : EngineAction

    /** Unloads a model or an adapter after the requests that run on it have ended. */
    @Serializable
    @SerialName("unload")
    public data class Unload(
        val name: ModelName,
    ) : EngineAction

    /** Changes the engine's role. */
    @Serializable
    @SerialName("change-role")
    public data class ChangeRole(
        val role: EngineRole,
    ) : EngineAction

    /** Changes nothing, but makes an engine that refuses old fences refuse every lower one from now on. */
    @Serializable
    @SerialName("barrier")
    public data object Barrier : EngineAction
}
