package plantainturn.process.control.lease

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.log.LogOffset
import plantainturn.version.configuration.SerializableList

/** An entry of a shard's control stream. */
@Serializable
public sealed interface ControlEntry {
    /**
     * Asks for the lease.
     *
     * It is granted when [fenceSeen] and [lastLeaseChangeSeen] are still the current ones at its offset, so that a renewal that
     * the claimant had not read defeats the claim.
     *
     * @property lastLeaseChangeSeen the offset of the last claim, renewal or release that the claimant saw lastLeaseChange, or
     * [ControlState.NO_LEASE_CHANGE]
     * @property oldestReadable set by a claimant that found the stream's beginning expired and no snapshot: the oldest offset
     * that it could read; the claim is then granted when nothing has lastLeaseChange since that offset, and announcements that
     * are older than the log's retention are forgotten
     */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        val holder: HolderIdentifier,
        val fenceSeen: FenceNumber,
        @SerialName("countedSeen")
        val lastLeaseChangeSeen: LogOffset,
        @SerialName("keptFrom")
        val oldestReadable: LogOffset? = null,
    ) : ControlEntry

    /** Prolongs the lease of [fence]. */
    @Serializable
    @SerialName("renewal")
    public data class Renewal(
        val fence: FenceNumber,
    ) : ControlEntry

    /** Gives the lease of [fence] back before its term. */
    @Serializable
    @SerialName("release")
    public data class Release(
        val fence: FenceNumber,
    ) : ControlEntry

    /** Announces [orders] to upstreams that do not refuse old fences, before they are sent. */
    @Serializable
    @SerialName("intent")
    public data class Intent(
        val fence: FenceNumber,
        val orders: SerializableList<IntendedOrder>,
    ) : ControlEntry

    /** States that [orders] have ended: none of them can act any more, and reports show what they did. */
    @Serializable
    @SerialName("outcome")
    public data class Outcome(
        val fence: FenceNumber,
        val orders: SerializableList<OrderIdentifier>,
    ) : ControlEntry

    /**
     * The state of the fold before the record at [next], for readers that come after the older records expired.
     */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val next: LogOffset,
        val state: ControlState,
    ) : ControlEntry
}
