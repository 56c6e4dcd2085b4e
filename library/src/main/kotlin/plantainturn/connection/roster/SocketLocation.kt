package plantainturn.connection.roster

/** Where a process listens: an IP number and a port. */
public data class SocketLocation(
    val ip: String,
    val port: Int,
) {
    override fun toString(): String = "$ip:$port"

    public companion object {
        private const val MAXIMUM_PORT = 65_535

        /** Returns the location that [text] names as `ip:port`, or null if it names none. */
        public fun parse(text: String): SocketLocation? {
            val ip = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return SocketLocation(ip, port).takeIf { ip.isNotEmpty() && port in 1..MAXIMUM_PORT }
        }
    }
}
