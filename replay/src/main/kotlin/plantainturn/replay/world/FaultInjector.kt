package plantainturn.replay.world

import plantainturn.process.time.TimerService
import plantainturn.replay.fault.Fault
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes the drawn faults happen. */
internal class FaultInjector(
    private val upstreams: Upstreams,
    private val desk: OrderDesk,
    private val services: ServiceCalls,
    private val timer: TimerService,
) {
    fun schedule(fault: Fault) {
        timer.schedule(fault.begins) { begin(fault) }
        timer.schedule(fault.begins + fault.lasts) { end(fault) }
    }

    private fun begin(fault: Fault) =
        when (fault) {
            is Fault.Upstream -> lose(upstreams.find(fault.name), RESET_DETECTION)
            is Fault.Domain -> inDomain(fault).forEach { lose(it, SILENCE_DETECTION) }
            is Fault.Log -> setLog(answers = false)
        }

    private fun end(fault: Fault) =
        when (fault) {
            is Fault.Upstream -> upstreams.find(fault.name).engine.restart()
            is Fault.Domain -> inDomain(fault).forEach { it.engine.restart() }
            is Fault.Log -> setLog(answers = true)
        }

    private fun lose(
        status: UpstreamStatus,
        detection: Duration,
    ) {
        status.lossDetection = detection
        status.engine.crash()
    }

    private fun inDomain(fault: Fault.Domain): List<UpstreamStatus> =
        upstreams.all.filter { it.engine.specification.failureDomain == fault.domain }

    private fun setLog(answers: Boolean) {
        desk.logAnswers = answers
        services.logAnswers = answers
    }

    private companion object {
        val RESET_DETECTION: Duration = 1.milliseconds
        val SILENCE_DETECTION: Duration = 1.seconds
    }
}
