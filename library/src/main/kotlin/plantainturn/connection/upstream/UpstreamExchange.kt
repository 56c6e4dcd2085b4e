package plantainturn.connection.upstream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import plantainturn.version.configuration.UpstreamName

/** Shares with the other nodes what each knows of the upstreams. What comes back is late and may be missing. */
public interface UpstreamExchange {
    /** Names this node among [nodes]. */
    public val self: String

    /** Returns the names of the nodes believed to be present. */
    public fun nodes(): PersistentList<String>

    /** Tells the others [report]. */
    public fun publish(report: ObservedReport)

    /** Returns the latest report that another node told of each upstream of which any did. */
    public fun observations(): Map<UpstreamName, ObservedReport>

    /** Tells the others whether the platform says that the VM at [address] is leaving. */
    public fun publishLeaving(
        address: String,
        leaving: Boolean,
    )

    /** Returns the addresses of the VMs of which any node says that they are leaving. */
    public fun leavingAddresses(): Set<String>

    public companion object {
        /** The exchange of a node that is alone. */
        public val NONE: UpstreamExchange =
            object : UpstreamExchange {
                override val self: String = ""

                override fun nodes(): PersistentList<String> = persistentListOf("")

                override fun publish(report: ObservedReport): Unit = Unit

                override fun observations(): Map<UpstreamName, ObservedReport> = emptyMap()

                override fun publishLeaving(
                    address: String,
                    leaving: Boolean,
                ): Unit = Unit

                override fun leavingAddresses(): Set<String> = emptySet()
            }
    }
}
