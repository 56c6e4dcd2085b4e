package plantainturn.relay.peer

import plantainturn.connection.roster.SocketLocation

/**
 * The addresses of some other nodes, for a node that knows no issuer and that the store turns away.
 *
 * Any node may have the news that the issuer would tell, and know who holds the lease.
 *
 * @param own this node's own address
 */
internal class KnownPeers(
    private val own: String,
) {
    private val addresses = ArrayDeque<String>()

    /** Remembers [reported], the newest of which replace the oldest. */
    fun add(reported: List<String>) {
        for (address in reported) if (address != own && address !in addresses) addresses.addLast(address)
        while (addresses.size > MAXIMUM) addresses.removeFirst()
    }

    /** Returns all of them. */
    fun all(): List<SocketLocation> = addresses.mapNotNull(SocketLocation::parse)

    /** Returns the peer to ask next, each in turn, or null if none is known. */
    fun next(): SocketLocation? {
        val address = addresses.removeFirstOrNull() ?: return null
        addresses.addLast(address)
        return SocketLocation.parse(address)
    }

    internal companion object {
        /** With a third of the nodes turned away by the store, all of as many are in one case of 6,500. */
        private const val MAXIMUM = 8

        /** Each report carries as many, other ones in turn, as bytes between failure domains are billed. */
        private const val PER_REPORT = 2

        /** Returns those of [addresses] that the report with number [sequence] of a node carries. */
        fun forReport(
            addresses: List<String>,
            sequence: Long,
        ): List<String> =
            if (addresses.size <= PER_REPORT) {
                addresses
            } else {
                List(PER_REPORT) { addresses[((sequence * PER_REPORT + it) % addresses.size).toInt()] }
            }
    }
}
