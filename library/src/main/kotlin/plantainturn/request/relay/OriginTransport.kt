package plantainturn.request.relay

import plantainturn.request.RequestIdentifier

/** Carries origins of streams between nodes. Each callback runs once, after a bounded time. */
public interface OriginTransport {
    /** The address of the node that hears the origins of all nodes' streams, null if it is this node or unknown. */
    public val collector: String?

    /** Lets the node at [address] keep [origins]. */
    public fun keep(
        address: String,
        origins: List<StreamOrigin>,
        done: (KeepResult) -> Unit,
    )

    /** Asks the node at [address] for the origin of [stream]. */
    public fun ask(
        address: String,
        stream: RequestIdentifier,
        done: (AskResult) -> Unit,
    )

    /** What became of [keep]. */
    public enum class KeepResult {
        KEPT,

        /** The node did not answer in time, or will end soon. */
        FAILED,

        /** The node runs a build that keeps no origins. */
        UNSUPPORTED,
    }

    /** What became of [ask]. */
    public sealed interface AskResult {
        /** The node knows the [origin]. */
        public data class Known(
            val origin: StreamOrigin,
        ) : AskResult

        /** The node does not know the origin, or its process has ended. */
        public data object Unknown : AskResult

        /** The node did not answer in time, and may know the origin. */
        public data object Silent : AskResult
    }
}
