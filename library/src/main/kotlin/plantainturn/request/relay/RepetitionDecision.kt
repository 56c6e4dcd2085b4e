package plantainturn.request.relay

import java.util.Locale

/**
 * Whether a request may be sent to a further instance, with the figures behind the decision.
 *
 * @property granted whether it may
 * @property used repetitions of this node in the window, including this one if it was granted
 * @property limit how many it may use
 * @property requests requests of this node's callers in the window
 * @property share fraction of the fixed repetitions that this node may use
 */
public data class RepetitionDecision(
    val granted: Boolean,
    val used: Int,
    val limit: Double,
    val requests: Int,
    val share: Double,
) {
    /** Returns the figures as `name=value` pairs, for logs. */
    override fun toString(): String =
        "granted=$granted used=$used limit=${"%.2f".format(Locale.ROOT, limit)} requests=$requests share=$share"
}
