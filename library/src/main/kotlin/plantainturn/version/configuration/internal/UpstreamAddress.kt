package plantainturn.version.configuration.internal

import com.google.common.net.HostAndPort
import com.google.common.net.InetAddresses

/** The form of an upstream's address: `http://`, an IP number and a port. */
internal object UpstreamAddress {
    const val FORM: String = "http:// with an IP number and a port, without a path, such as http://10.0.0.1:8000"
    private const val SCHEME = "http://"

    /** Whether [address] has the form. */
    fun isValid(address: String): Boolean {
        if (!address.startsWith(SCHEME)) return false
        val parsed = parse(address.removePrefix(SCHEME)) ?: return false
        return parsed.hasPort() && parsed.port > 0 && InetAddresses.isInetAddress(parsed.host)
    }

    private fun parse(text: String): HostAndPort? =
        try {
            HostAndPort.fromString(text).requireBracketsForIPv6()
        } catch (_: IllegalArgumentException) {
            null
        }
}
