package plantainturn.request.completion.internal

import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.process.time.TimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestPriority
import plantainturn.request.completion.CompletionRequest
import plantainturn.request.completion.CompletionSettings
import plantainturn.request.completion.EngineConnections
import plantainturn.request.completion.StreamAssembler
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.quarantine.RequestFingerprint

/**
 * Runs attempts on engines.
 *
 * After each attempt, also one that throws, it ends the permit and reports the result to the directory and to the
 * quarantine register.
 */
internal class AttemptRunner(
    private val directory: UpstreamDirectory,
    private val engines: EngineConnections,
    private val quarantine: QuarantineRegister,
    private val probe: EngineProbe,
    private val timer: TimerService,
    private val settings: CompletionSettings,
) {
    /**
     * Runs [attempt] of [request] and returns how it ended.
     *
     * An attempt that the engine reports as finished although tokens are missing is returned as [GenerationEnd.Broken].
     */
    fun run(
        request: CompletionRequest,
        fingerprint: RequestFingerprint,
        target: CompletionTarget,
        attempt: AttemptNumber,
        start: AttemptStartResult.Started,
        assembler: StreamAssembler,
    ): GenerationEnd {
        val beganAt = timer.now()
        val latencies = TokenLatencyTracker(target.tokenTarget)
        var end: GenerationEnd = GenerationEnd.Broken("the attempt failed in this node")
        try {
            end =
                if (quarantine.isSuspect(fingerprint) && !probe.isResponsive(start.view)) {
                    GenerationEnd.Unreachable("the engine did not answer before the attempt")
                } else {
                    brokenIfIncomplete(generate(request, attempt, target, start, assembler, latencies), assembler)
                }
        } finally {
            assembler.endAttempt()
            val now = timer.now()
            // A deadline that leaves less time than the first-token target is no evidence against the upstream.
            val cutShortByDeadline = now >= request.deadline && now - beganAt < target.firstTokenTarget
            start.permit.end(now, isUpstreamFailure(end) && !cutShortByDeadline, wasSlow(request, end, latencies))
            recordResult(end, fingerprint, start, cutShortByDeadline)
        }
        return end
    }

    private fun generate(
        request: CompletionRequest,
        attempt: AttemptNumber,
        target: CompletionTarget,
        start: AttemptStartResult.Started,
        assembler: StreamAssembler,
        latencies: TokenLatencyTracker,
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
        val engine = engines.connect(start.view.name, start.view.specification)
        val silenceLimit = minOf(settings.silenceLimit, request.deadline - timer.now())
        return engine.generate(generation, silenceLimit) { chunk ->
            val now = timer.now()
            latencies.recordToken(now)
            start.permit.firstToken(now, target.firstTokenTarget)
            assembler.receive(chunk) && now < request.deadline
        }
    }

    /**
     * Returns whether the tokens came too slowly, or null if that cannot be judged.
     *
     * Batch requests may be slow, and an unfinished answer is not conclusive.
     */
    private fun wasSlow(
        request: CompletionRequest,
        end: GenerationEnd,
        latencies: TokenLatencyTracker,
    ): Boolean? {
        val conclusive = end is GenerationEnd.Finished && request.priority == RequestPriority.INTERACTIVE
        return if (conclusive) latencies.isSlow else null
    }

    private fun brokenIfIncomplete(
        end: GenerationEnd,
        assembler: StreamAssembler,
    ): GenerationEnd {
        val incomplete = end is GenerationEnd.Finished && !assembler.isComplete(end) && !assembler.isFull
        return if (incomplete) GenerationEnd.Broken("tokens are missing") else end
    }

    private fun isUpstreamFailure(end: GenerationEnd): Boolean =
        end is GenerationEnd.Broken || end is GenerationEnd.RefusedNotRun || end is GenerationEnd.Unreachable

    private fun recordResult(
        end: GenerationEnd,
        fingerprint: RequestFingerprint,
        start: AttemptStartResult.Started,
        cutShortByDeadline: Boolean,
    ) {
        val upstream = start.view.name
        when (end) {
            is GenerationEnd.Finished -> {
                directory.reportSuccess(upstream)
                quarantine.succeeded(fingerprint, upstream)
            }
            is GenerationEnd.Broken ->
                if (cutShortByDeadline) {
                    quarantine.ended(
                        fingerprint,
                        upstream,
                    )
                } else {
                    recordBreak(fingerprint, start)
                }
            is GenerationEnd.Unreachable -> {
                directory.reportFailure(upstream)
                quarantine.ended(fingerprint, upstream)
            }
            is GenerationEnd.RefusedNotRun, is GenerationEnd.Stopped -> quarantine.ended(fingerprint, upstream)
        }
    }

    private fun recordBreak(
        fingerprint: RequestFingerprint,
        start: AttemptStartResult.Started,
    ) {
        val upstream = start.view.name
        directory.reportFailure(upstream)
        quarantine.broke(fingerprint, CrashEvidence(upstream, start.view.report?.incarnation), probe)
    }
}
