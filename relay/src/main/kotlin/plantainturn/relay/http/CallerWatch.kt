package plantainturn.relay.http

/** Hears what happens to the connection of a request in progress. */
public interface CallerWatch {
    /** The caller has closed its connection. */
    public fun onCallerGone()

    /** The caller's connection takes more again, or takes no more. */
    public fun onWritable(writable: Boolean)
}
