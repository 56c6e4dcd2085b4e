package plantainturn.process.membership

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.SerializableList

/**
 * A gossip message: the request that one node sends to another, or the answer to it.
 *
 * @property sender the sender's own entry
 * @property receiver the member that the sender expects at the address, or null if it does not know
 * @property configurationVersion the version in force at the sender
 * @property entries membership entries and published values
 * @property sync asks for entries that the sender lacks
 * @property syncedTo in an answer to [sync], the key from which the next request continues, or null at the end
 * @property probe asks the receiver to probe the member at this address
 * @property probed in an answer to [probe], whether the member answered
 */
@Serializable
public data class GossipMessage(
    val sender: GossipEntry.Membership,
    val receiver: MemberIdentifier? = null,
    val configurationVersion: ConfigurationVersion = ConfigurationVersion.NONE,
    val entries: SerializableList<GossipEntry> = persistentListOf(),
    val sync: SyncRequest? = null,
    val syncedTo: String? = null,
    val probe: ProbeRequest? = null,
    val probed: Boolean? = null,
)
