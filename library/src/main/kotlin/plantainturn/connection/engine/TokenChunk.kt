package plantainturn.connection.engine

import kotlinx.serialization.Serializable
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier

/**
 * One token of an answer.
 *
 * @property position the token's place in the whole answer, from 0
 */
@Serializable
public data class TokenChunk(
    val request: RequestIdentifier,
    val attempt: AttemptNumber,
    val position: Int,
    val text: String,
)
