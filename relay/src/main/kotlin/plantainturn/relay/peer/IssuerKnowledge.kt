package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/**
 * What a node has from one issuer, so that it is not told again.
 *
 * @property session names the term of the issuer that told it; the numbers of another term say nothing
 * @property residenceRevision the newest revision of residence
 * @property prompts how much of the news of prompts
 */
@Serializable
internal data class IssuerKnowledge(
    val session: String?,
    val residenceRevision: Long,
    val prompts: Long,
) {
    companion object {
        /** Nothing yet. */
        val NONE = IssuerKnowledge(session = null, residenceRevision = -1, prompts = 0)
    }
}
