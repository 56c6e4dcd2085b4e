package plantainturn.connection.vm

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of process that runs on a VM. */
@Serializable
public enum class VmKind {
    /** A node of this system. */
    @SerialName("node")
    NODE,

    /** A server to which this system routes requests. */
    @SerialName("upstream")
    UPSTREAM,
}
