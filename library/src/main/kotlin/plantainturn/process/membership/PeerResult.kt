package plantainturn.process.membership

/** What an exchange with a peer gave. */
public sealed interface PeerResult {
    /** The peer answered. */
    public data class Answered(
        val message: GossipMessage,
    ) : PeerResult

    /** There was no answer, or none that a peer gives. */
    public data class Failed(
        val reason: String,
    ) : PeerResult
}
