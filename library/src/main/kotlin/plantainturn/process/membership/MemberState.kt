package plantainturn.process.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What is believed of a member. Within one incarnation a later state replaces an earlier one. */
@Serializable
public enum class MemberState {
    /** It answers. */
    @SerialName("alive")
    ALIVE,

    /** It did not answer; it has some time to contradict. */
    @SerialName("suspect")
    SUSPECT,

    /** It did not contradict in time. */
    @SerialName("dead")
    DEAD,

    /** It said that it goes. */
    @SerialName("left")
    LEFT,
    ;

    /** Whether the member is counted among the members. */
    public val present: Boolean
        get() = this == ALIVE || this == SUSPECT
}
