package plantainturn.relay.node

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits

/**
 * A record of the topic of crash evidence: a break, an answer or the claim of a trial. Its key begins with one of the
 * prefixes below, or is that of a break.
 *
 * @property fingerprint the request that broke off, or the trait that was answered or is tried
 * @property at when it was noticed, in Unix milliseconds
 * @property evidence the run at which the request broke off, null if the record is no break
 * @property parts the parts of the prompt of the request that broke off
 * @property answered those of [parts] that were answered before, and [fingerprint] if it was, as far as the writer knew
 * @property trial the number of the trial
 * @property ofRequest whether an answer speaks for a request as a whole and not for a part
 */
@Serializable
internal data class CrashEvidenceRecord(
    val fingerprint: RequestFingerprint,
    val at: Long,
    val evidence: CrashEvidence? = null,
    val parts: List<RequestFingerprint> = emptyList(),
    val answered: List<RequestFingerprint> = emptyList(),
    val trial: Int = 0,
    val ofRequest: Boolean = false,
) {
    /** The traits of the request that broke off. */
    val traits: RequestTraits
        get() = RequestTraits(fingerprint, parts.toPersistentList())

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
