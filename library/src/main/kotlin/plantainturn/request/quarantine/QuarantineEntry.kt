package plantainturn.request.quarantine

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * What a node knows against one fingerprint, as it tells the others.
 *
 * @property crashes where attempts broke off, one for each run of an upstream
 * @property excused where attempts broke off in an outage, which count for less
 * @property quarantined whether requests with the fingerprint are not run any more
 * @property remainingMilliseconds how much longer the entry holds
 */
@Serializable
public data class QuarantineEntry(
    val fingerprint: RequestFingerprint,
    val crashes: SerializableList<CrashEvidence>,
    val quarantined: Boolean,
    val remainingMilliseconds: Long,
    val excused: SerializableList<CrashEvidence> = persistentListOf(),
)
