package plantainturn.daemon.caller

import io.javalin.http.Context
import plantainturn.daemon.http.ResultWriter
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.RequestIdentifier
import plantainturn.request.completion.CompletionHandler
import plantainturn.request.completion.CompletionRequest
import plantainturn.request.completion.CompletionResult
import plantainturn.version.configuration.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Serves one of the completion conventions. */
internal class CompletionEndpoint(
    private val convention: CompletionConvention,
    private val handler: CompletionHandler,
    private val timer: TimerService,
    private val defaultDeadline: Duration,
) {
    /** Serves the request in [context] for [team], on the calling thread. */
    fun serve(
        context: Context,
        identifier: RequestIdentifier,
        team: TeamName,
        body: String,
    ): ResultCode =
        when (val parsed = CompletionParser.parse(convention, body)) {
            is ParsedCompletion.Malformed -> refuse(context, identifier, parsed.problem)
            is ParsedCompletion.Valid -> run(context, requestOf(context, identifier, team, parsed), parsed.stream)
        }

    private fun refuse(
        context: Context,
        identifier: RequestIdentifier,
        problem: String,
    ): ResultCode {
        ResultWriter.writeError(context, identifier, ResultCode.MALFORMED_REQUEST, problem)
        return ResultCode.MALFORMED_REQUEST
    }

    private fun requestOf(
        context: Context,
        identifier: RequestIdentifier,
        team: TeamName,
        parsed: ParsedCompletion.Valid,
    ): CompletionRequest {
        val now = timer.now()
        return CompletionRequest(
            identifier = identifier,
            team = team,
            target = parsed.target,
            prompt = parsed.prompt,
            maximumTokens = parsed.maximumTokens,
            priority = parsed.priority,
            receivedAt = now,
            deadline = now + timeoutOf(context),
        )
    }

    private fun timeoutOf(context: Context): Duration {
        val asked = context.header(TIMEOUT_HEADER)?.toLongOrNull() ?: return defaultDeadline
        return asked.coerceIn(1, LONGEST_TIMEOUT_MILLISECONDS).milliseconds
    }

    private fun run(
        context: Context,
        request: CompletionRequest,
        stream: Boolean,
    ): ResultCode {
        val format = AnswerFormat(convention, request.identifier, request.target)
        val writer = if (stream) StreamedAnswer(context, request, format) else WholeAnswer(context, request, format)
        val result = handler.handle(request, writer)
        when (result) {
            is CompletionResult.Answered -> writer.finish(result)
            is CompletionResult.Unanswered -> writer.fail(result)
        }
        return result.code
    }

    private companion object {
        const val TIMEOUT_HEADER = "X-Timeout-Milliseconds"
        const val LONGEST_TIMEOUT_MILLISECONDS = 3_600_000L
    }
}
