package plantainturn.relay.node

import kotlinx.serialization.Serializable
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.RequestFingerprint

/**
 * A record of the topic of crash evidence: a break, an answer or the claim of a trial. Its key begins with one of the
 * prefixes below, or is that of a break.
 *
 * @property fingerprint the request that broke off, or the part that was answered or is tried
 * @property at when it was noticed, in Unix milliseconds
 * @property evidence the run at which the request broke off, null if the record is no break
 * @property parts the parts of the prompt of the request that broke off
 * @property answered those of [parts] that were answered before, as far as the writer knew
 * @property trial the number of the trial
 */
@Serializable
internal data class CrashEvidenceRecord(
    val fingerprint: RequestFingerprint,
    val at: Long,
    val evidence: CrashEvidence? = null,
    val parts: List<RequestFingerprint> = emptyList(),
    val answered: List<RequestFingerprint> = emptyList(),
    val trial: Int = 0,
) {
    val key: String
        get() =
            when {
                evidence == null && trial == 0 -> "$ANSWER_PREFIX$fingerprint"
                evidence == null -> "$TRIAL_PREFIX$fingerprint"
                parts.isEmpty() -> "$fingerprint/${evidence.upstream}/${evidence.incarnation}"
                else -> "$fingerprint/${evidence.upstream}/${evidence.incarnation}/${parts.size}"
            }

    companion object {
        const val ANSWER_PREFIX = "answer/"
        const val TRIAL_PREFIX = "trial/"
    }
}
