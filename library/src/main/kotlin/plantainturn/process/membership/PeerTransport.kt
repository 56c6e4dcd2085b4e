package plantainturn.process.membership

import kotlin.time.Duration

/** Carries messages between nodes. */
public fun interface PeerTransport {
    /**
     * Sends [message] to the node at [address] and gives its answer to [onResult], once, on any thread.
     *
     * The call returns at once and throws nothing.
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
