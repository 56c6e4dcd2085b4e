package plantainturn.relay.request

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time limits, counts and HTTP statuses used while a request is relayed. */
internal object RequestLimits {
    /** Nodes of an older build tell each other the origins of streams within two exchanges of reports. */
    val ORIGIN_TIMEOUT = 700.milliseconds
    val ORIGIN_RETRY_INTERVAL = 100.milliseconds

    /** With a second search, an origin that was on its way during the first one is found. */
    const val CERTAIN_ORIGIN_SEARCHES = 2

    /** When a node that did not answer may do so again. */
    val ORIGIN_RETRY_AFTER = 1.seconds

    /** The status of a stream that ends without any event. */
    const val OK = 200

    /** The lowest status that is neither a success nor informational. */
    const val FIRST_FAILURE = 300

    /** The lowest status of the server error class. */
    const val FIRST_SERVER_FAILURE = 500

    /** Content length of an answer that does not state it. */
    const val UNKNOWN_LENGTH = -1L

    /** The same for all requests, because routes don't state what a request is worth. */
    const val REQUEST_WORTH = 1.0

    /** Maximum sends of one request, including refused ones; a platform's services have few instances. */
    const val MAXIMUM_ARRIVALS = 4

    /**
     * Parts of a prompt that crashes may be attributed to. With the names of more, the records of one write could be
     * larger than a platform's store accepts in a call.
     */
    const val MAXIMUM_TRAIT_PARTS = 64

    /** Less than a round trip plus the shortest work; a send with less time left is useless. */
    val MINIMUM_USEFUL_TIME = 10.milliseconds

    /** The shortest suspicion of an instance is over by then. */
    val NO_UPSTREAM_RETRY_AFTER = 300.milliseconds

    /** For a request that a later configuration may allow; by then the store or a peer has usually been heard. */
    val OUTDATED_RETRY_AFTER = 300.milliseconds

    /** For a request that no node could take whose own paths are sound; by then others may be known. */
    val CUT_OFF_RETRY_AFTER = 200.milliseconds

    /** An answer that takes longer than this many times the usual one is shown by the node's report. */
    const val HOLD_FACTOR = 2

    /** Until the node's report shows the request. */
    val UNKNOWN_HOLD = 2.seconds

    /** For a request whose deadline passed; the queue has moved on by then. */
    val DEADLINE_RETRY_AFTER = 100.milliseconds

    /** Short, because another node can serve the caller at once. */
    val STOPPING_RETRY_AFTER = 10.milliseconds

    /** For a model whose load time is not in the configuration. */
    val MODEL_RETRY_AFTER = 1_500.milliseconds

    /** For an adapter when all adapter places of its engines are in use; short requests have ended by then. */
    val ADAPTER_RETRY_AFTER = 1.seconds

    /** A caller is told to retry after at most the time it has left, divided by this number. */
    const val RETRY_AFTER_DIVISOR = 3

    /** Time between two requests for the same adapter. */
    val ADAPTER_RETRY_INTERVAL = 60.milliseconds

    /** A connection that was idle for longer may be closed by the instance just as the request is sent. */
    val MAXIMUM_IDLE_IF_NOT_REPEATABLE = 2.seconds

    /** Longer, because a request that can be repeated survives a closed connection. */
    val MAXIMUM_IDLE_IF_REPEATABLE = 20.seconds

    /** How often a request whose engine is silent looks for another engine that holds its model. */
    val SILENCE_CHECK_INTERVAL = 250.milliseconds

    /** An instance that answers nobody for this long after a request was sent may have crashed while handling it. */
    val CRASH_SUSPICION_SILENCE = 1_500.milliseconds
}
