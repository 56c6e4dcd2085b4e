package plantainturn.daemon.caller

import io.javalin.http.Context
import plantainturn.daemon.http.ResultWriter
import plantainturn.process.ResultCode
import plantainturn.request.completion.CompletionRequest
import plantainturn.request.completion.CompletionResult
import java.io.IOException

/**
 * Writes each token as a server-sent event as soon as it is there.
 *
 * The status line is sent with the first token, so that a request that did not run gets the status of its result code.
 * A stream that ends without `[DONE]` is not a whole answer; its last event then carries the error.
 */
internal class StreamedAnswer(
    private val context: Context,
    private val request: CompletionRequest,
    private val format: AnswerFormat,
) : AnswerWriter {
    private var started = false

    override fun receive(
        position: Int,
        text: String,
    ): Boolean = send(format.chunk(text))

    override fun finish(result: CompletionResult.Answered) {
        send(format.end(result.reason))
        send(END_OF_STREAM)
    }

    override fun fail(result: CompletionResult.Unanswered) {
        if (started) {
            send(ResultWriter.encodeError(request.identifier, result.code, result.detail, result.retryAfter))
        } else {
            ResultWriter.writeError(context, request.identifier, result.code, result.detail, result.retryAfter)
        }
    }

    private fun send(data: String): Boolean =
        try {
            if (!started) start()
            val stream = context.res().outputStream
            stream.write("data: $data\n\n".toByteArray())
            stream.flush()
            true
        } catch (_: IOException) {
            false
        }

    private fun start() {
        started = true
        ResultWriter.writeHeaders(context, request.identifier, ResultCode.ANSWERED)
        context.header("Cache-Control", "no-cache")
        context.res().contentType = "text/event-stream; charset=utf-8"
    }

    private companion object {
        const val END_OF_STREAM = "[DONE]"
    }
}
