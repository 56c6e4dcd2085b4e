package plantainturn.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a stand-in of a platform service behaves towards its clients. */
@Serializable
public enum class OutageMode {
    /** It answers. */
    @SerialName("none")
    NONE,

    /** It answers each request with an error that promises no effect. */
    @SerialName("refusing")
    REFUSING,

    /** It breaks each connection without an effect or an answer. */
    @SerialName("breaking")
    BREAKING,

    /** It has no effect and does not answer before the outage ends, and breaks the connection then. */
    @SerialName("silent")
    SILENT,
}
