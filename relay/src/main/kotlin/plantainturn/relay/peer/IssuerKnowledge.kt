package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/**
 * What a node has from one issuer, so that it is not told again.
 *
 * @property residenceRevision the newest revision of residence
 * @property prompts how much of the news of prompts
 */
@Serializable
internal data class IssuerKnowledge(
    val residenceRevision: Long,
    val prompts: Long,
) {
    companion object {
        /** Nothing yet. */
        val NONE = IssuerKnowledge(residenceRevision = -1, prompts = 0)
    }
}
