package plantainturn.relay.http

/** Observes the caller's connection while a request is in progress. */
public interface CallerConnectionListener {
    /** Called when the caller's connection was closed. */
    public fun onCallerDisconnected()

    /** Called when the connection's write buffer becomes full, or has room again if [writable] is true. */
    public fun onWritabilityChanged(writable: Boolean)
}
