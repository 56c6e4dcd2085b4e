package plantainturn.request.quarantine

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * The evidence of one node against one fingerprint, as it is sent to the others.
 *
 * @property crashes runs of upstreams at which attempts broke off, each run once
 * @property excused runs at which attempts broke off during an outage, which count for less
 * @property quarantined whether requests with the fingerprint are no longer run
 * @property remainingMilliseconds how much longer the entry is valid
 */
@Serializable
public data class QuarantineEntry(
    val fingerprint: RequestFingerprint,
    val crashes: SerializableList<CrashEvidence>,
    val quarantined: Boolean,
    val remainingMilliseconds: Long,
    val excused: SerializableList<CrashEvidence> = persistentListOf(),
)
