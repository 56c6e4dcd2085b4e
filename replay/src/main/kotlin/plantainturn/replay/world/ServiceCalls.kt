package plantainturn.replay.world

import plantainturn.process.time.TimerService
import plantainturn.replay.measure.Measures
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Plain services and the calls to them that must not run twice.
 *
 * @property claims whether each key is claimed on the log before its one dispatch; otherwise calls whose answer is
 *   lost are sent once more, as proxies do
 */
internal class ServiceCalls(
    private val timer: TimerService,
    private val measures: Measures,
    private val random: Random,
    private val claims: Boolean,
    private val lostAnswerShare: Double,
) {
    private val claimed = HashSet<String>()
    private val executed = HashSet<String>()

    /** Whether the log answers. */
    var logAnswers: Boolean = true

    fun call(key: String) {
        if (!claims) return dispatch(key, attemptsLeft = 1)
        if (!logAnswers) return
        timer.schedule(CLAIM_TIME) { if (claimed.add(key)) dispatch(key, attemptsLeft = 0) }
    }

    private fun dispatch(
        key: String,
        attemptsLeft: Int,
    ) {
        timer.schedule(RUN_TIME) { if (!executed.add(key)) measures.duplicateExecution() }
        val answerIsLost = lostAnswerShare > 0 && random.nextDouble() < lostAnswerShare
        if (answerIsLost && attemptsLeft > 0) timer.schedule(TIMEOUT) { dispatch(key, attemptsLeft - 1) }
    }

    private companion object {
        val CLAIM_TIME: Duration = 10.milliseconds
        val RUN_TIME: Duration = 20.milliseconds
        val TIMEOUT: Duration = 10.seconds
    }
}
