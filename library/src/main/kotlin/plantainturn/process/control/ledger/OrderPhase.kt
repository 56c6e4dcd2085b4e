package plantainturn.process.control.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far an order has come, as far as the ledger knows. */
@Serializable
public enum class OrderPhase {
    /** Memory is reserved and nothing was sent. */
    @SerialName("reserved")
    RESERVED,

    /** A call that sends it has begun and has not returned. */
    @SerialName("sending")
    SENDING,

    /** It was sent and may act. */
    @SerialName("sent")
    SENT,

    /** The engine said that it has taken it. */
    @SerialName("accepted")
    ACCEPTED,

    /** It may still act, now or later, and is not sent again. */
    @SerialName("in-doubt")
    IN_DOUBT,

    /** A report shows that it has ended. A copy of it that is still on its way could act only after a restart. */
    @SerialName("ended")
    ENDED,
}
