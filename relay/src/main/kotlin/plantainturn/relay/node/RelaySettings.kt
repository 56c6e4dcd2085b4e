package plantainturn.relay.node

import kotlinx.serialization.Serializable
import plantainturn.connection.roster.SocketLocation

/**
 * The settings of a relay node.
 *
 * @property node the node's name, for logs and as holder of the lease
 * @property failureDomain the failure domain of its VM
 * @property callers where it listens for callers, `ip:port`
 * @property readiness where it answers the balancer's probe
 * @property peers where it answers its peers and serves metrics and dumps
 * @property advertisedPeers where peers reach it, if that is another address than [peers]
 * @property store where the platform's store listens
 * @property stopSeconds how long it may take to stop
 * @property drainMilliseconds how soon after an upstream's leaving is known requests to it must have ended
 * @property handOverMilliseconds the pause between orders of two holders of the lease
 * @property enginesRefuseOldFences whether engines refuse orders with an earlier holder's fence
 * @property processorShare what the VM has of a core, null if it is not known
 * @property linkMegabits what the VM's link carries in a second, null if it is not known
 * @property repetitionRatio repetitions that the deployment allows for each request
 * @property repetitionsFixed repetitions that it allows beyond that in a window
 * @property repetitionWindowSeconds the window of both
 * @property loadWindowSeconds the window in which loads from the weight store are counted
 */
@Serializable
public data class RelaySettings(
    val node: String,
    val failureDomain: String,
    val callers: String,
    val readiness: String,
    val peers: String,
    val store: String,
    val advertisedPeers: String? = null,
    val stopSeconds: Double = 8.0,
    val drainMilliseconds: Long = 2_000,
    val handOverMilliseconds: Long = 3_000,
    val enginesRefuseOldFences: Boolean = false,
    val processorShare: Double? = null,
    val linkMegabits: Double? = null,
    val repetitionRatio: Double = 0.1,
    val repetitionsFixed: Double = 10.0,
    val repetitionWindowSeconds: Double = 10.0,
    val loadWindowSeconds: Double = 5.0,
) {
    /** Returns what is wrong with the settings, empty if nothing is. */
    public fun faults(): List<String> =
        buildList {
            if (node.isBlank()) add("node: is empty")
            for ((name, value) in listOf(
                "callers" to callers,
                "readiness" to readiness,
                "peers" to peers,
                "advertisedPeers" to (advertisedPeers ?: peers),
                "store" to store,
            )) {
                if (SocketLocation.parse(value) == null) add("$name: \"$value\" is not ip:port")
            }
            for ((name, value) in listOf(
                "stopSeconds" to stopSeconds,
                "drainMilliseconds" to drainMilliseconds.toDouble(),
                "processorShare" to processorShare,
                "linkMegabits" to linkMegabits,
                "repetitionWindowSeconds" to repetitionWindowSeconds,
                "loadWindowSeconds" to loadWindowSeconds,
            )) {
                if (value != null && value <= 0) add("$name: must be positive")
            }
            if (handOverMilliseconds < 0) add("handOverMilliseconds: must not be negative")
            if (repetitionRatio < 0) add("repetitionRatio: must not be negative")
            if (repetitionsFixed < 0) add("repetitionsFixed: must not be negative")
        }
}
