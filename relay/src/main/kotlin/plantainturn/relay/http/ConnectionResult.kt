package plantainturn.relay.http

/** What came of asking a [ConnectionPool] for a connection. */
internal sealed interface ConnectionResult {
    /** [connection] is free for one request. */
    class Ready(
        val connection: UpstreamConnection,
    ) : ConnectionResult

    /** None could be made; nothing was sent. */
    class Failed(
        val reason: String,
    ) : ConnectionResult
}
