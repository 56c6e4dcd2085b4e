package plantainturn.process.membership

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.SerializableList

/**
 * What one node sends to another, and what it gets back.
 *
 * @property sender the sender's own entry
 * @property receiver whom the sender believes to be at the address, null if it does not know
 * @property configurationVersion the version in force at the sender
 * @property entries news
 * @property sync asks for entries that the sender lacks
 * @property syncedTo in an answer to [sync], the key before which nothing more is to come, null at the end of the keys
 * @property probe asks the receiver to find out whether the member at this address answers
 * @property probed in an answer to [probe], whether it does
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
