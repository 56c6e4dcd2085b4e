package plantainturn.request.quarantine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/**
 * What a node knows against one fingerprint, as it tells the others.
 *
 * @property crashes where attempts broke off, one for each upstream
 * @property quarantined whether requests with the fingerprint are not run any more
 * @property remainingMilliseconds how much longer the entry holds
 */
@Serializable
public data class QuarantineEntry(
    val fingerprint: RequestFingerprint,
    val crashes: SerializableList<CrashEvidence>,
    val quarantined: Boolean,
    val remainingMilliseconds: Long,
)
