package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/**
 * Identifies what a node has received from one issuer, so that it is not sent again.
 *
 * @property session identifies the term of the issuer; the numbers of another term are not comparable
 * @property residenceRevision the newest revision of the residence
 * @property prompts the number of cached prompt parts announced so far
 * @property streams the number of origins of streams announced so far
 * @property nodesRevision the newest revision of the list of nodes, -1 if none was received
 */
@Serializable
internal data class IssuerKnowledge(
    val session: String?,
    val residenceRevision: Long,
    val prompts: Long,
    val streams: Long,
    val nodesRevision: Long = -1,
) {
    companion object {
        /** Nothing received yet. */
        val NONE = IssuerKnowledge(session = null, residenceRevision = -1, prompts = 0, streams = 0)
    }
}
