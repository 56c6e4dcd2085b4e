package plantainturn.replay.fault

import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** Something that fails for a while. */
internal sealed interface Fault {
    val begins: Duration
    val lasts: Duration

    /** One upstream crashes; it comes back empty. */
    data class Upstream(
        val name: UpstreamName,
        override val begins: Duration,
        override val lasts: Duration,
    ) : Fault

    /** All upstreams of a failure domain are lost; they come back empty. */
    data class Domain(
        val domain: FailureDomain,
        override val begins: Duration,
        override val lasts: Duration,
    ) : Fault

    /** The log does not answer. */
    data class Log(
        override val begins: Duration,
        override val lasts: Duration,
    ) : Fault
}
