package plantainturn.process.membership

/** The result of an exchange with a peer. */
public sealed interface PeerResult {
    /** The peer answered. */
    public data class Answered(
        val message: GossipMessage,
    ) : PeerResult

    /** The peer did not answer, or the answer was not a gossip message. */
    public data class Failed(
        val reason: String,
    ) : PeerResult
}
