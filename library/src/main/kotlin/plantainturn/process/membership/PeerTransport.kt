package plantainturn.process.membership

import kotlin.time.Duration

/** Sends messages to other nodes. */
public fun interface PeerTransport {
    /**
     * Sends [message] to the node at [address] and passes the result to [onResult], once, on any thread.
     *
     * Implementations must not block and must not throw.
     *
     * @param timeout the time after which the exchange counts as failed
     */
    public fun exchange(
        address: String,
        message: GossipMessage,
        timeout: Duration,
        onResult: (PeerResult) -> Unit,
    )
}
