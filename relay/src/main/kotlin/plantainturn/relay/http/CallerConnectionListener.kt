package plantainturn.relay.http

/** Hears what happens to the connection of a request in progress. */
public interface CallerConnectionListener {
    /** The caller has closed its connection. */
    public fun onCallerDisconnected()

    /** The caller's connection takes more again, or takes no more. */
    public fun onWritabilityChanged(writable: Boolean)
}
