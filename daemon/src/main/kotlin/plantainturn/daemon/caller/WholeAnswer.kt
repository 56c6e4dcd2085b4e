package plantainturn.daemon.caller

import io.javalin.http.Context
import plantainturn.daemon.http.ResultWriter
import plantainturn.request.completion.CompletionRequest
import plantainturn.request.completion.CompletionResult

/** Collects the tokens and writes the answer in one piece. */
internal class WholeAnswer(
    private val context: Context,
    private val request: CompletionRequest,
    private val format: AnswerFormat,
) : AnswerWriter {
    private val text = StringBuilder()

    override fun receive(
        position: Int,
        text: String,
    ): Boolean {
        this.text.append(text)
        return true
    }

    override fun finish(result: CompletionResult.Answered) {
        ResultWriter.writeHeaders(context, request.identifier, result.code)
        context.contentType("application/json")
        context.result(format.whole(text.toString(), result.tokens, result.reason))
    }

    override fun fail(result: CompletionResult.Unanswered) {
        ResultWriter.writeError(context, request.identifier, result.code, result.detail, result.retryAfter)
    }
}
