package plantainturn.version.placement

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.engine.EngineRole
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** One change of what is resident on an engine, with the reason that `dump` shows. */
@Serializable
public sealed interface PlacementMove {
    /** The engine that changes. */
    public val upstream: UpstreamName

    /** Why the planner wants it, one sentence. */
    public val reason: String

    /**
     * Loads a model or an adapter.
     *
     * @property emergency whether nothing else ready holds [name], so that the load goes before all others
     */
    @Serializable
    @SerialName("load")
    public data class Load(
        override val upstream: UpstreamName,
        val name: ModelName,
        override val reason: String,
        val emergency: Boolean = false,
    ) : PlacementMove

    /** Unloads a model or an adapter. */
    @Serializable
    @SerialName("unload")
    public data class Unload(
        override val upstream: UpstreamName,
        val name: ModelName,
        override val reason: String,
    ) : PlacementMove

    /** Changes an engine's role. */
    @Serializable
    @SerialName("change-role")
    public data class ChangeRole(
        override val upstream: UpstreamName,
        val role: EngineRole,
        override val reason: String,
    ) : PlacementMove
}
