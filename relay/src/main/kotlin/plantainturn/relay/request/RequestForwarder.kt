package plantainturn.relay.request

import plantainturn.connection.roster.SocketLocation
import plantainturn.relay.http.ConnectionPool

/** Chooses the nodes to which requests are handed while this one is cut off from a service. */
internal interface RequestForwarder {
    /** Whether any other node is known. */
    val hasPeers: Boolean

    /** Returns the node that takes the next request, none of [avoided]; null if there is none. */
    fun choose(avoided: Set<SocketLocation>): SocketLocation?

    /** Returns the connections to [peer]. */
    fun pool(peer: SocketLocation): ConnectionPool

    /** Records that a request is handed to [peer]. */
    fun onBegin(peer: SocketLocation)

    /** Records the end of a request at [peer], and whether the peer can take further ones. */
    fun onEnd(
        peer: SocketLocation,
        usable: Boolean,
    )
}
