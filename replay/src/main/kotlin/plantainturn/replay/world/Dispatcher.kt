package plantainturn.replay.world

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.replay.deployment.ReplayDeployment
import plantainturn.replay.engine.Attempt
import plantainturn.replay.engine.AttemptListener
import plantainturn.replay.measure.Measures
import plantainturn.replay.policy.RoutingPolicy
import kotlin.time.Duration

/** Carries requests between callers, nodes and engines, with their delays, as a [RoutingPolicy] decides. */
internal class Dispatcher(
    private val deployment: ReplayDeployment,
    private val timer: TimerService,
    private val measures: Measures,
) {
    /** Decides where requests go. */
    lateinit var routing: RoutingPolicy

    fun arrive(run: RequestRun) {
        measures.arrived()
        timer.schedule(run.deadline - timer.now()) { giveUp(run) }
        routing.arrived(run)
    }

    /** Sends [run] to [status]; the answer or the refusal comes later. */
    fun send(
        run: RequestRun,
        status: UpstreamStatus,
    ) {
        run.state = RunState.SENT
        run.upstream = status
        timer.schedule(deployment.betweenDomains) { submit(run, status) }
    }

    /** Tells the caller that the request was not run, or failed if it may have run. */
    fun refuse(run: RequestRun) {
        run.state = RunState.ENDED
        if (!run.mayHaveRun) measures.refusedNotRun()
    }

    private fun submit(
        run: RequestRun,
        status: UpstreamStatus,
    ) {
        if (run.state != RunState.SENT) return
        val attempt =
            Attempt(
                target = run.record.target,
                priority = run.record.priority,
                promptRemaining = run.record.promptTokens + run.generated,
                answerRemaining = run.record.answerTokens - run.generated,
                tokenTargetSeconds = run.tokenTargetSeconds,
                listener = Listener(run, status),
            )
        if (status.engine.submit(attempt)) {
            run.attempt = attempt
            run.mayHaveRun = true
        } else {
            timer.schedule(refusalDelay(status)) { refused(run, status) }
        }
    }

    private fun refusalDelay(status: UpstreamStatus): Duration =
        if (status.engine.alive) deployment.betweenDomains else status.lossDetection

    private fun refused(
        run: RequestRun,
        status: UpstreamStatus,
    ) {
        if (!status.engine.alive) status.fail(timer.now())
        routing.left(run, status)
        if (run.state != RunState.SENT) return
        run.state = RunState.WAITING
        run.avoided = status
        routing.refused(run)
    }

    private fun broken(
        run: RequestRun,
        status: UpstreamStatus,
        attempt: Attempt,
    ) {
        status.fail(timer.now())
        routing.left(run, status)
        if (run.state != RunState.SENT) return
        run.state = RunState.WAITING
        run.avoided = status
        keepProgress(run, attempt)
        routing.broken(run)
    }

    private fun keepProgress(
        run: RequestRun,
        attempt: Attempt,
    ) {
        run.slowTokens += attempt.slowTokens + 1
        run.generated += attempt.generated
        run.attempt = null
    }

    private fun finished(
        run: RequestRun,
        status: UpstreamStatus,
        attempt: Attempt,
    ) {
        routing.left(run, status)
        if (run.state != RunState.SENT) return
        run.state = RunState.ENDED
        run.slowTokens += attempt.slowTokens
        measures.answered(run, checkNotNull(run.firstTokenAt) - run.arrivedAt)
        routing.finished(run, status)
    }

    private fun giveUp(run: RequestRun) {
        if (run.state == RunState.ENDED || run.firstTokenAt != null) return
        val wasSent = run.state == RunState.SENT
        refuse(run)
        if (!wasSent) return
        val status = checkNotNull(run.upstream)
        run.attempt?.let {
            status.engine.cancel(it)
            routing.left(run, status)
        }
    }

    private inner class Listener(
        private val run: RequestRun,
        private val status: UpstreamStatus,
    ) : AttemptListener {
        override fun firstToken(
            attempt: Attempt,
            now: Moment,
        ) {
            if (run.firstTokenAt == null) run.firstTokenAt = now + deployment.betweenDomains + deployment.toClients
        }

        override fun finished(
            attempt: Attempt,
            now: Moment,
        ) = finished(run, status, attempt)

        override fun broken(
            attempt: Attempt,
            now: Moment,
        ) {
            timer.schedule(status.lossDetection) { broken(run, status, attempt) }
        }
    }
}
