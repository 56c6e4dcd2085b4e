package plantainturn.request.quarantine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Everything about a request that a crash of its upstream may be attributed to.
 *
 * @property request the request as a whole
 * @property parts the parts of its prompt that other requests may share, in order
 */
public data class RequestTraits(
    val request: RequestFingerprint,
    val parts: PersistentList<RequestFingerprint> = persistentListOf(),
) {
    /** The request as a whole and its parts, each once. */
    val all: Set<RequestFingerprint>
        get() = parts.toMutableSet().apply { add(request) }
}
