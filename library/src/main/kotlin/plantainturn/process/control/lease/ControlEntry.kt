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
     * The claim is granted if [fenceSeen] and [lastLeaseChangeSeen] still match the state at its offset. A renewal that
     * the claimant had not read therefore defeats the claim.
     *
     * @property lastLeaseChangeSeen [ControlState.lastLeaseChange] as the claimant read it, or
     * [ControlState.NO_LEASE_CHANGE]
     * @property oldestReadable the oldest offset that the claimant could read; set only if the beginning of the stream
     * had expired and no snapshot was found. The claim is then granted if the lease has not changed since that offset,
     * and all open intents are dropped, as they are older than the log's retention
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

    /** Extends the lease of [fence]. */
    @Serializable
    @SerialName("renewal")
    public data class Renewal(
        val fence: FenceNumber,
    ) : ControlEntry

    /** Releases the lease of [fence] before its term ends. */
    @Serializable
    @SerialName("release")
    public data class Release(
        val fence: FenceNumber,
    ) : ControlEntry

    /** Announces [orders] to upstreams that do not refuse old fences, before the orders are sent. */
    @Serializable
    @SerialName("intent")
    public data class Intent(
        val fence: FenceNumber,
        val orders: SerializableList<IntendedOrder>,
    ) : ControlEntry

    /** States that [orders] have ended: none can take effect any more, and reports show what each has done. */
    @Serializable
    @SerialName("outcome")
    public data class Outcome(
        val fence: FenceNumber,
        val orders: SerializableList<OrderIdentifier>,
    ) : ControlEntry

    /** The folded state before the record at [next], for readers that start after the older records have expired. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val next: LogOffset,
        val state: ControlState,
    ) : ControlEntry
}
