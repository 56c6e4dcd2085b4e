package plantainturn.process.control.lease

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset
import plantainturn.version.configuration.SerializableList

/**
 * The state that results from folding a prefix of a control stream.
 *
 * @property fence the offset of the last granted claim
 * @property holder the holder of the lease of [fence], null if it was released or never claimed
 * @property lastLeaseChange the offset of the last claim, renewal or release that took effect
 * @property highestIntent the highest sequence number of an order announced under [fence]
 * @property intents announced orders without an outcome, in order of announcement, including those of earlier fences
 */
@Serializable
public data class ControlState(
    val fence: FenceNumber = FenceNumber.NONE,
    val holder: HolderIdentifier? = null,
    @SerialName("counted")
    val lastLeaseChange: LogOffset = NO_LEASE_CHANGE,
    val highestIntent: Long = 0,
    val intents: SerializableList<IntendedOrder> = persistentListOf(),
) {
    public companion object {
        /** The value of [lastLeaseChange] before the first granted claim. */
        public val NO_LEASE_CHANGE: LogOffset = LogOffset(-1)

        /** The state before the first record. */
        public val EMPTY: ControlState = ControlState()
    }
}
