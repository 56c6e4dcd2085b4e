package plantainturn.connection.http

import kotlinx.serialization.Serializable

/** The body of an answer that carries an error, in the form that clients of model engines know. */
@Serializable
public data class ErrorAnswer(
    val error: ErrorDetail,
) {
    public companion object {
        /** Returns an answer with [message] that says whether the request provably did not and will not run. */
        public fun of(
            message: String,
            notRun: Boolean,
        ): ErrorAnswer = ErrorAnswer(ErrorDetail(message, notRun))
    }
}
