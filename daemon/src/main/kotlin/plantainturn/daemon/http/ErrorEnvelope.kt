package plantainturn.daemon.http

import kotlinx.serialization.Serializable

/** The JSON body of an answer that carries an error. */
@Serializable
internal data class ErrorEnvelope(
    val error: ErrorBody,
)
