package plantainturn.replay.measure

import kotlinx.collections.immutable.toPersistentList
import org.HdrHistogram.Histogram
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.replay.ReplayMinute
import plantainturn.replay.ReplayOutcomes
import plantainturn.replay.ReplayReport
import plantainturn.replay.engine.EngineObserver
import plantainturn.replay.world.RequestRun
import plantainturn.request.RequestPriority
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Counts what a replay is judged by. */
internal class Measures(
    private val timer: TimerService,
) : EngineObserver {
    private val firstTokens = Histogram(SIGNIFICANT_DIGITS)
    private val minutes = ArrayList<MutableMinute>()
    private var requests = 0L
    private var attained = 0L
    private var moves = 0L
    private var refused = 0L
    private var overcommits = 0L
    private var unreachableSeconds = 0L
    private var duplicates = 0L

    private var answered = 0L
    private var lateFirstTokens = 0L
    private var slowAnswers = 0L

    override fun moveBegan() {
        moves++
        minuteOf(timer.now()).moves++
    }

    override fun overcommitted() {
        overcommits++
    }

    fun arrived() {
        requests++
        minuteOf(timer.now()).arrived++
    }

    fun refusedNotRun() {
        refused++
    }

    fun unreachable(count: Int) {
        unreachableSeconds += count
    }

    fun duplicateExecution() {
        duplicates++
    }

    fun answered(
        run: RequestRun,
        firstToken: Duration,
    ) {
        answered++
        if (run.record.priority == RequestPriority.INTERACTIVE) {
            firstTokens.recordValue(firstToken.inWholeMicroseconds)
        }
        val late = firstToken > run.firstTokenTarget
        val slow = run.slowTokens > SLOW_SHARE * run.record.answerTokens
        if (late) lateFirstTokens++
        if (slow) slowAnswers++
        if (late || slow) return
        attained++
        minuteOf(run.arrivedAt).attained++
    }

    fun minutes(): List<ReplayMinute> =
        minutes.map { ReplayMinute(it.arrived, it.attained, it.moves) }.toPersistentList()

    fun outcomes(): ReplayOutcomes = ReplayOutcomes(answered, lateFirstTokens, slowAnswers)

    fun report(
        accelerators: Int,
        seed: Long,
    ): ReplayReport =
        ReplayReport(
            requests = requests,
            attained = attained,
            accelerators = accelerators,
            attainmentPerAccelerator = attained.toDouble() / accelerators,
            moves = moves,
            refusedNotRun = refused,
            overcommits = overcommits,
            unreachableModelSeconds = unreachableSeconds,
            duplicateExecutions = duplicates,
            firstTokenP95Seconds = firstTokens.getValueAtPercentile(P95) / MICROSECONDS_PER_SECOND,
            seed = seed,
        )

    private fun minuteOf(moment: Moment): MutableMinute {
        val index = (moment - Moment.ORIGIN).toDouble(DurationUnit.MINUTES).toInt()
        while (minutes.size <= index) minutes += MutableMinute()
        return minutes[index]
    }

    private class MutableMinute {
        var arrived = 0L
        var attained = 0L
        var moves = 0L
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val SLOW_SHARE = 0.05
        const val P95 = 95.0
        const val MICROSECONDS_PER_SECOND = 1e6
    }
}
