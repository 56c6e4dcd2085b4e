package plantainturn.connection.vm

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What runs on a VM. */
@Serializable
public enum class VmKind {
    /** A node of the system. */
    @SerialName("node")
    NODE,

    /** A server that the system routes to. */
    @SerialName("upstream")
    UPSTREAM,
}
