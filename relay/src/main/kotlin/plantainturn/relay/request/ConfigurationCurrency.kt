package plantainturn.relay.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells how far this node's configuration can be relied on.
 *
 * A denial is a claim about the present: callers never retry after it, although a later configuration may allow what
 * they ask for. All parts of a node that deny something by the configuration ask [permitsDenial] first, and answer that
 * the caller may come back if it is false.
 */
internal interface ConfigurationCurrency {
    /** How long ago the store, or a peer that hears it, last confirmed the configuration; null if it never did. */
    val confirmationAge: Duration?

    /** Whether a peer is known to have a later configuration. */
    val isLaterKnown: Boolean

    /** Whether a later configuration has been known for so long that this one must no longer be followed. */
    val isSuperseded: Boolean

    /** Whether no later configuration can be in force that this node should know. */
    val permitsDenial: Boolean
        get() = !isLaterKnown && isConfirmedWithin(MAXIMUM_DENIAL_AGE)

    /** Returns whether the configuration was confirmed at most [limit] ago. */
    fun isConfirmedWithin(limit: Duration): Boolean = confirmationAge?.let { it <= limit } ?: false

    /** Returns what is known as `name=value` pairs for the log. */
    fun describe(): String = "confirmed=$confirmationAge laterKnown=$isLaterKnown superseded=$isSuperseded"

    companion object {
        /** At most the time within which a configuration must be in force. */
        val MAXIMUM_DENIAL_AGE = 2.seconds
    }
}
