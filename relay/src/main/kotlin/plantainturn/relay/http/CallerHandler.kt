package plantainturn.relay.http

/** Handles the requests of callers. */
public interface CallerHandler {
    /** Begins to handle [request] and returns what hears of its connection. */
    public fun handle(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerConnectionListener

    /** Drops [request], whose caller left before it could be handled. */
    public fun onAlreadyDisconnected(request: CallerRequest)

    /**
     * Answers a request that could not be read to its end.
     *
     * @param status the HTTP status that tells why
     */
    public fun onUnreadable(
        reply: CallerReply,
        status: Int,
        reason: String,
    )
}
