package plantainturn.relay.http

/** Result of a request to a [ConnectionPool] for a connection. */
internal sealed interface ConnectionResult {
    /** The [connection] is available for one request. */
    class Ready(
        val connection: UpstreamConnection,
    ) : ConnectionResult

    /** No connection could be opened, so nothing was sent. */
    class Failed(
        val reason: String,
    ) : ConnectionResult
}
