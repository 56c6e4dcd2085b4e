package plantainturn.process.control.lease

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.log.LogOffset
import plantainturn.version.configuration.SerializableList

/**
 * What a prefix of a control stream says.
 *
 * @property fence the offset of the last granted claim
 * @property holder who holds the lease of [fence], null when it was released or never claimed
 * @property lastLeaseChange the offset of the last claim, renewal or release that took effect
 * @property highestIntent the highest sequence number announced under [fence]
 * @property intents announced orders without an outcome, in order of announcement, also those of earlier fences
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
        /** The value of [lastLeaseChange] when nothing has taken effect. */
        public val NO_LEASE_CHANGE: LogOffset = LogOffset(-1)

        /** The state before the first record. */
        public val EMPTY: ControlState = ControlState()
    }
}
