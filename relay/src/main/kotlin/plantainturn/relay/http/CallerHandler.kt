package plantainturn.relay.http

/** Handles the requests of callers. */
public interface CallerHandler {
    /** Starts handling [request] and returns the listener for its connection. */
    public fun handle(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerConnectionListener

    /** Discards [request], whose caller disconnected before it could be handled. */
    public fun onAlreadyDisconnected(request: CallerRequest)

    /**
     * Answers a request that could not be read completely.
     *
     * @param status the HTTP status that corresponds to the failure
     * @param reason a description of the failure for the log
     */
    public fun onUnreadable(
        reply: CallerReply,
        status: Int,
        reason: String,
    )
}
