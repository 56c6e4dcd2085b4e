package plantainturn.connection.roster

/** Holds the IP address and port on which a process listens. */
public data class SocketLocation(
    val ip: String,
    val port: Int,
) {
    override fun toString(): String = "$ip:$port"

    public companion object {
        private const val MAXIMUM_PORT = 65_535

        /** Parses [text] of the form `ip:port`; returns null if it is malformed or the port is out of range. */
        public fun parse(text: String): SocketLocation? {
            val ip = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return SocketLocation(ip, port).takeIf { ip.isNotEmpty() && port in 1..MAXIMUM_PORT }
        }
    }
}
