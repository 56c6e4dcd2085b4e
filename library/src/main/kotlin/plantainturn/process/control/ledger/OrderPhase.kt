package plantainturn.process.control.ledger

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The progress of an order, as far as the ledger knows. */
@Serializable
public enum class OrderPhase {
    /** Memory is reserved for the order, and it has not been sent. */
    @SerialName("reserved")
    RESERVED,

    /** A call that sends the order is in progress. */
    @SerialName("sending")
    SENDING,

    /** The order was sent without a definite answer, so it may take effect; it can be sent again. */
    @SerialName("sent")
    SENT,

    /** The engine has confirmed that it accepted the order. */
    @SerialName("accepted")
    ACCEPTED,

    /** The order may still take effect, now or later, and is not sent again. */
    @SerialName("in-doubt")
    IN_DOUBT,

    /** A report shows that the order has ended. A delayed copy of it can take effect only after a restart. */
    @SerialName("ended")
    ENDED,
}
