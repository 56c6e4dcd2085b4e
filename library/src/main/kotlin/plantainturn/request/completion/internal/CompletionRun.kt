package plantainturn.request.completion.internal

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import plantainturn.connection.engine.GenerationEnd
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestResources
import plantainturn.request.admission.AdmissionRefusal
import plantainturn.request.admission.AdmissionTicket
import plantainturn.request.completion.CompletionRequest
import plantainturn.request.completion.CompletionResult
import plantainturn.request.completion.CompletionSettings
import plantainturn.request.completion.StreamAssembler
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs the attempts of one request in sequence until the answer is complete or no further attempt is possible. */
internal class CompletionRun(
    private val request: CompletionRequest,
    private val target: CompletionTarget,
    private val ticket: AdmissionTicket,
    private val assembler: StreamAssembler,
    private val starter: AttemptStarter,
    private val runner: AttemptRunner,
    private val resources: RequestResources,
    private val timer: TimerService,
    private val settings: CompletionSettings,
) {
    private val fingerprint = RequestFingerprint.of(request.target, request.prompt)
    private var tried: PersistentSet<UpstreamName> = persistentSetOf()
    private var attempt = AttemptNumber.FIRST

    /** Whether an attempt may have been run by an upstream. */
    private var mayHaveRun = false

    /** Runs the request on the calling thread. */
    fun execute(): CompletionResult {
        if (resources.quarantine.isQuarantined(fingerprint)) return quarantined()
        while (true) {
            val start = starter.await(ticket.copy(resumed = mayHaveRun), target, fingerprint, tried)
            if (start is AttemptStartResult.Refused) return refused(start.refusal)
            val end = runAttempt(start as AttemptStartResult.Started)
            finalResult(end)?.let { return it }
            if (!mayRetry()) return retriesExhausted()
            attempt = attempt.next()
        }
    }

    private fun runAttempt(start: AttemptStartResult.Started): GenerationEnd {
        tried = tried.add(start.view.name)
        val end = runner.run(request, fingerprint, target, attempt, start, assembler)
        resources.admission.startWaitingRequests()
        val provablyNotRun = end is GenerationEnd.RefusedNotRun || end is GenerationEnd.Unreachable
        if (!provablyNotRun) mayHaveRun = true
        return end
    }

    private fun finalResult(end: GenerationEnd): CompletionResult? =
        when {
            assembler.callerDisconnected -> unanswered(ResultCode.CANCELLED, "the caller went away")
            end is GenerationEnd.Finished -> answered(end.reason)
            assembler.isFull -> answered(LENGTH)
            timer.now() >= request.deadline -> deadlinePassed()
            else -> null
        }

    private fun mayRetry(): Boolean =
        attempt.value < settings.maximumAttempts && resources.retryBudget.tryRetry(timer.now())

    private fun answered(reason: String): CompletionResult {
        resources.retryBudget.recordSuccess()
        resources.demand.recordAnswer(request.target, assembler.deliveredTokens)
        return CompletionResult.Answered(assembler.deliveredTokens, reason)
    }

    private fun refused(refusal: AdmissionRefusal): CompletionResult =
        when {
            !mayHaveRun -> CompletionResult.Unanswered(refusal.code, refusal.detail, refusal.retryAfter)
            refusal.code == ResultCode.DEADLINE_PASSED_IN_QUEUE -> deadlinePassed()
            else -> broken(refusal.detail)
        }

    private fun retriesExhausted(): CompletionResult =
        if (mayHaveRun) {
            broken("no attempt is left to resume the answer")
        } else {
            unanswered(ResultCode.RETRIES_EXHAUSTED_NOT_RUN, "${attempt.value} attempts were refused", RETRY_AFTER)
        }

    private fun broken(detail: String): CompletionResult =
        if (assembler.deliveredTokens > 0) {
            unanswered(ResultCode.STREAM_BROKEN, detail)
        } else {
            unanswered(ResultCode.OUTCOME_UNKNOWN, detail)
        }

    private fun deadlinePassed(): CompletionResult =
        if (mayHaveRun) {
            unanswered(ResultCode.DEADLINE_PASSED, "the deadline passed")
        } else {
            unanswered(
                ResultCode.DEADLINE_PASSED_IN_QUEUE,
                "the deadline passed before an upstream took it",
                RETRY_AFTER,
            )
        }

    private fun quarantined(): CompletionResult =
        unanswered(ResultCode.QUARANTINED, "requests like this one have crashed upstreams")

    private fun unanswered(
        code: ResultCode,
        detail: String,
        retryAfter: Duration? = null,
    ): CompletionResult = CompletionResult.Unanswered(code, detail, retryAfter)

    private companion object {
        const val LENGTH = "length"
        val RETRY_AFTER = 1.seconds
    }
}
