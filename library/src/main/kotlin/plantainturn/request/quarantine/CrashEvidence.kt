package plantainturn.request.quarantine

import kotlinx.serialization.Serializable
import plantainturn.version.configuration.UpstreamName

/**
 * A request's attempt broke off at one run of [upstream].
 *
 * @property incarnation names the run; null if the upstream does not tell its runs apart
 */
@Serializable
public data class CrashEvidence(
    val upstream: UpstreamName,
    val incarnation: String?,
) {
    /** Whether [other] may be the same run; an incarnation that is not known may be any. */
    internal fun isSameRun(other: CrashEvidence): Boolean =
        upstream == other.upstream &&
            (incarnation == other.incarnation || incarnation == null || other.incarnation == null)
}
