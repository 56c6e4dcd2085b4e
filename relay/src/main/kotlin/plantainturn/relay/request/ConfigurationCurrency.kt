package plantainturn.relay.request

import kotlin.time.Duration

/** Tells how far this node's configuration can be relied on. */
internal interface ConfigurationCurrency {
    /** How long ago the store, or a peer that hears it, last confirmed the configuration; null if it never did. */
    val confirmationAge: Duration?

    /** Whether a peer is known to have a later configuration. */
    val isLaterKnown: Boolean
}
