package plantainturn.request.quarantine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.UpstreamName

/**
 * Records that a request's attempt broke off at one run of [upstream].
 *
 * @property incarnation identifies the run; null if the upstream does not distinguish its runs
 */
@Serializable
public data class CrashEvidence(
    val upstream: UpstreamName,
    val incarnation: String?,
) {
    /** Returns whether [other] may be the same run; an unknown incarnation matches any. */
    internal fun isSameRun(other: CrashEvidence): Boolean =
        upstream == other.upstream &&
            (incarnation == other.incarnation || incarnation == null || other.incarnation == null)
}
