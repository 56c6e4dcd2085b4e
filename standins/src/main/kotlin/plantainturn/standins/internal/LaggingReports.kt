package plantainturn.standins.internal

import plantainturn.connection.engine.EngineReport
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Gives reports that are as old as the lag says. */
internal class LaggingReports(
    private val timer: TimerService,
    private val lag: Duration,
    private val take: (sequence: Long) -> EngineReport,
) {
    private class Taken(
        val report: EngineReport,
        val at: Moment,
    )

    private val lock = ReentrantLock()
    private val taken = ArrayDeque<Taken>()
    private var sequence = 0L

    init {
        record()
        if (lag.isPositive()) timer.subscribe(maxOf(lag / STEPS, MINIMUM_PERIOD), ::record)
    }

    /** Returns the newest report that is at least as old as the lag, or the oldest that there is. */
    fun latest(): EngineReport {
        if (!lag.isPositive()) record()
        return lock.withLock {
            val now = timer.now()
            while (taken.size > 1 && now - taken[1].at >= lag) taken.removeFirst()
            val chosen = taken.first()
            chosen.report.copy(ageMilliseconds = (now - chosen.at).inWholeMilliseconds)
        }
    }

    /** Drops all reports, as a new process would, and takes one. */
    fun restart() {
        lock.withLock { taken.clear() }
        record()
    }

    private fun record() {
        lock.withLock {
            val report = take(sequence++)
            taken.addLast(Taken(report, timer.now()))
            val tooMany = if (lag.isPositive()) taken.size > MAXIMUM_KEPT else taken.size > 1
            if (tooMany) taken.removeFirst()
        }
    }

    private companion object {
        const val STEPS = 4
        const val MAXIMUM_KEPT = 64
        val MINIMUM_PERIOD = 10.milliseconds
    }
}
