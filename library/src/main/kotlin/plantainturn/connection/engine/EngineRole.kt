package plantainturn.connection.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an engine does with requests. */
@Serializable
public enum class EngineRole {
    /** Computes prompts and generates tokens. */
    @SerialName("mixed")
    MIXED,

    /** Computes prompts and exports the KV cache. */
    @SerialName("prefill")
    PREFILL,

    /** Imports the KV cache and generates tokens. */
    @SerialName("decode")
    DECODE,
}
