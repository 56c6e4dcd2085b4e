package plantainturn.process.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The state that a member is believed to be in. Within one incarnation a later constant replaces an earlier one. */
@Serializable
public enum class MemberState {
    /** The member answers. */
    @SerialName("alive")
    ALIVE,

    /** The member did not answer and has limited time to refute the suspicion. */
    @SerialName("suspect")
    SUSPECT,

    /** The member did not refute the suspicion in time, or another process answered at its address. */
    @SerialName("dead")
    DEAD,

    /** The member announced that it leaves. */
    @SerialName("left")
    LEFT,
    ;

    /** Whether the member is counted among the members. */
    public val present: Boolean
        get() = this == ALIVE || this == SUSPECT
}
