package plantainturn.request.completion

import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.AttemptNumber
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Runs callers' requests for answers on the model engines. */
public class CompletionCoordinator(
    private val configuration: ConfigurationSource,
    private val directory: UpstreamDirectory,
    private val engines: EngineConnections,
    private val timer: TimerService,
    private val random: Random,
    private val settings: CompletionSettings = CompletionSettings(),
) : CompletionHandler {
    override fun handle(
        request: CompletionRequest,
        receiver: AnswerReceiver,
    ): CompletionResult {
        val current =
            configuration.current?.configuration
                ?: return CompletionResult.Unanswered(ResultCode.NOT_READY, "no configuration was read yet", 1.seconds)
        if (request.target !in current.models && request.target !in current.adapters) {
            return CompletionResult.Unanswered(ResultCode.MODEL_UNKNOWN, "no model ${request.target}")
        }
        return run(request, StreamAssembler(request.identifier, receiver, request.maximumTokens))
    }

    private fun run(
        request: CompletionRequest,
        assembler: StreamAssembler,
    ): CompletionResult {
        val tried = mutableSetOf<UpstreamName>()
        var attempt = AttemptNumber.FIRST
        var ran = false
        while (attempt.value <= settings.maximumAttempts) {
            val view = choose(request.target, tried) ?: break
            tried += view.name
            val end = dispatch(request, assembler, attempt, view)
            result(end, assembler)?.let { return it }
            ran = ran || end is GenerationEnd.Broken || end is GenerationEnd.Finished
            attempt = attempt.next()
        }
        return exhausted(tried, ran, assembler)
    }

    private fun choose(
        target: ModelName,
        tried: Set<UpstreamName>,
    ): UpstreamView? {
        val ready = directory.views().values.filter { it.isReady(target) && !it.leaving && it.name !in tried }
        return ready.filter { !it.suspected }.ifEmpty { ready }.randomOrNull(random)
    }

    private fun dispatch(
        request: CompletionRequest,
        assembler: StreamAssembler,
        attempt: AttemptNumber,
        view: UpstreamView,
    ): GenerationEnd {
        assembler.beginAttempt(attempt)
        val generation =
            GenerationRequest(
                request = request.identifier,
                attempt = attempt,
                target = request.target,
                prompt = request.prompt,
                maximumTokens = request.maximumTokens,
                priority = request.priority,
                resumePosition = assembler.deliveredTokens,
                resumeText = assembler.deliveredText,
            )
        val remaining = request.deadline - timer.now()
        val engine = engines.connect(view.name, view.specification)
        val end =
            engine.generate(generation, minOf(settings.silenceLimit, remaining)) { chunk ->
                assembler.receive(chunk) && timer.now() < request.deadline
            }
        assembler.endAttempt()
        return end
    }

    private fun result(
        end: GenerationEnd,
        assembler: StreamAssembler,
    ): CompletionResult? =
        when {
            assembler.callerGone -> CompletionResult.Unanswered(ResultCode.CANCELLED, "the caller went away")
            end is GenerationEnd.Finished && assembler.isWhole(end) ->
                CompletionResult.Answered(end.totalTokens, end.reason)
            assembler.isFull -> CompletionResult.Answered(assembler.deliveredTokens, LENGTH)
            end is GenerationEnd.Stopped ->
                CompletionResult.Unanswered(ResultCode.DEADLINE_PASSED, "the deadline passed")
            else -> null
        }

    private fun exhausted(
        tried: Set<UpstreamName>,
        ran: Boolean,
        assembler: StreamAssembler,
    ): CompletionResult =
        when {
            assembler.deliveredTokens > 0 ->
                CompletionResult.Unanswered(ResultCode.STREAM_BROKEN, "no upstream could resume the answer")
            ran -> CompletionResult.Unanswered(ResultCode.OUTCOME_UNKNOWN, "the attempts broke off")
            tried.isEmpty() ->
                CompletionResult.Unanswered(ResultCode.NO_UPSTREAM, "no ready upstream holds the model", 1.seconds)
            else ->
                CompletionResult.Unanswered(
                    ResultCode.RETRIES_EXHAUSTED_NOT_RUN,
                    "each upstream refused",
                    1.seconds,
                )
        }

    private companion object {
        const val LENGTH = "length"
    }
}
