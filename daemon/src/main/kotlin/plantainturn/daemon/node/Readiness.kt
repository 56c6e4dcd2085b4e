package plantainturn.daemon.node

import plantainturn.version.configuration.ConfigurationSource

/** Tells the balancer whether to send callers to this node. */
internal class Readiness(
    private val configuration: ConfigurationSource,
) {
    @Volatile
    private var stopping = false

    /** Ends readiness for good. */
    fun beginStop() {
        stopping = true
    }

    /** Returns why the node is not ready, or null if it is. */
    fun reasonAgainst(): String? =
        when {
            stopping -> "stopping"
            configuration.current == null -> "no configuration yet"
            else -> null
        }
}
