package plantainturn.standins.load.internal

/** How a request or call ended, as its caller was told. */
internal enum class AnswerOutcome { ANSWERED, WRONG, NOT_RUN, FAILED, UNKNOWN }

/**
 * One request that ended.
 *
 * @property code the result code, 0 if the connection broke before any
 */
internal class EndedRequest(
    val outcome: AnswerOutcome,
    val code: Int,
    val firstTokenMilliseconds: Double? = null,
    val gapsMilliseconds: List<Double> = emptyList(),
)

/** One call with its [key] that ended. */
internal class EndedCall(
    val key: String,
    val outcome: AnswerOutcome,
    val code: Int,
)
