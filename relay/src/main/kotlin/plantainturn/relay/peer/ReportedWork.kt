package plantainturn.relay.peer

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName

/** What nodes have reported of their requests at instances. */
internal interface ReportedWork {
    /** Returns how many requests of all nodes run at [instance]. */
    fun runningAt(instance: UpstreamName): Int

    /** Returns when [node] last reported, null if it has not for long. */
    fun reportedAt(node: String): Moment?

    /** Nothing was reported. */
    object NONE : ReportedWork {
        override fun runningAt(instance: UpstreamName): Int = 0

        override fun reportedAt(node: String): Moment? = null
    }
}
