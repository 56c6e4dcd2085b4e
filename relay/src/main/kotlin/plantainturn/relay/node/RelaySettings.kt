package plantainturn.relay.node

import kotlinx.serialization.Serializable
import plantainturn.connection.roster.SocketLocation

/**
 * The settings of a relay node.
 *
 * @property node the node's name in logs and in the lease's holder record
 * @property failureDomain the failure domain of the node's VM
 * @property callers the address for callers, as `ip:port`
 * @property readiness the address for the load balancer's probe
 * @property peers the address for peers, metrics and dumps
 * @property advertisedPeers the address at which peers reach the node, if it differs from [peers]
 * @property store the address of the platform's store
 * @property stopSeconds the longest time that a stop may take
 * @property drainMilliseconds how soon requests to an upstream must have ended once it is known to be leaving
 * @property handOverMilliseconds the pause between the orders of successive holders of the lease
 * @property enginesRefuseOldFences whether engines refuse orders with the fence of an earlier holder
 * @property processorShare the VM's share of a processor core, null if unknown
 * @property linkMegabits the bandwidth of the VM's link in megabits per second, null if unknown
 * @property repetitionRatio repetitions that the deployment allows per request
 * @property repetitionsFixed repetitions that the deployment allows in each window in addition to the ratio
 * @property repetitionWindowSeconds the window of both repetition limits
 * @property loadWindowSeconds the window in which loads from the weight store are counted
 * @property strictRevocation whether requests that need an access key are refused without a confirmed configuration
 * @property revocationMilliseconds the age of the last confirmation from which a strict node refuses them
 * @property quotaWindowSeconds the window in which the use of an account's quota by all nodes is bounded
 * @property quotaOverage part of rate x window + burst by which that use may exceed it
 * @property quotaTolerance tokens by which that use may exceed it in addition
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
    val strictRevocation: Boolean = false,
    val revocationMilliseconds: Long = 3_000,
    val quotaWindowSeconds: Double = 8.0,
    val quotaOverage: Double = 0.1,
    val quotaTolerance: Double = 0.0,
) {
    /** Returns the faults of the settings, empty if they are valid. */
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
                "revocationMilliseconds" to revocationMilliseconds.toDouble(),
                "quotaWindowSeconds" to quotaWindowSeconds,
            )) {
                if (value != null && value <= 0) add("$name: must be positive")
            }
            if (handOverMilliseconds < 0) add("handOverMilliseconds: must not be negative")
            if (repetitionRatio < 0) add("repetitionRatio: must not be negative")
            if (repetitionsFixed < 0) add("repetitionsFixed: must not be negative")
            if (quotaOverage < 0) add("quotaOverage: must not be negative")
            if (quotaTolerance < 0) add("quotaTolerance: must not be negative")
        }
}
