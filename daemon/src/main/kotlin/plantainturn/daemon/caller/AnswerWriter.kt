package plantainturn.daemon.caller

import plantainturn.request.completion.AnswerReceiver
import plantainturn.request.completion.CompletionResult

/** Writes one answer to its caller. */
internal interface AnswerWriter : AnswerReceiver {
    /** Ends a whole answer. */
    fun finish(result: CompletionResult.Answered)

    /** Tells the caller that there is no whole answer. */
    fun fail(result: CompletionResult.Unanswered)
}
