package plantainturn.connection.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state of a model or adapter on an engine. Each state takes its memory. */
@Serializable
public enum class ResidentState {
    /** Its weights are arriving; it can't run requests yet. */
    @SerialName("loading")
    LOADING,

    /** It can run requests. */
    @SerialName("ready")
    READY,

    /** It takes no new requests and leaves when the running ones have ended. */
    @SerialName("unloading")
    UNLOADING,
}
