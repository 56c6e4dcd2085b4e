package plantainturn.relay.request

import plantainturn.connection.roster.SoftwareVersion
import plantainturn.connection.roster.UpstreamInstance

/** Which software versions may run a request. */
internal sealed interface VersionConstraint {
    /** Returns whether [instance] may run the request. */
    fun permits(instance: UpstreamInstance): Boolean

    /** The request begins anew, or all servers have the same version. */
    data object None : VersionConstraint {
        override fun permits(instance: UpstreamInstance): Boolean = true
    }

    /** The request continues a stream that [version] began. */
    data class Only(
        val version: SoftwareVersion,
    ) : VersionConstraint {
        override fun permits(instance: UpstreamInstance): Boolean = instance.softwareVersion == version
    }

    /** The request continues a stream of one of several versions, and it is not known which one. */
    data object Unknown : VersionConstraint {
        override fun permits(instance: UpstreamInstance): Boolean = false
    }
}
