package plantainturn.relay.loop

import org.apache.logging.log4j.LogManager
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Measures how late an event loop runs a periodic task, which is how long everything else waits for it, too.
 *
 * A delay beyond a bound is logged with what the loop did meanwhile. Confined to the loop.
 *
 * @param observe receives each measured delay
 */
internal class LoopDelay(
    private val timer: TimerService,
    private val work: LoopWork,
    private val observe: (Duration) -> Unit,
) {
    private val logger = LogManager.getLogger("loop")
    private val collectors = ManagementFactory.getGarbageCollectorMXBeans()
    private var dueAt: Moment? = null
    private var collected = collectionMilliseconds()

    /** The longest delay since the start. */
    var longest: Duration = Duration.ZERO
        private set

    /** Measures the delay of a task that runs [period] after its last run has ended, and runs [task] as its work. */
    fun measure(
        period: Duration,
        task: () -> Unit,
    ) {
        onBegin()
        task()
        dueAt = timer.now() + period
    }

    private fun onBegin() {
        val delay = (timer.now() - (dueAt ?: return)).coerceAtLeast(Duration.ZERO)
        observe(delay)
        longest = maxOf(longest, delay)
        if (delay > LOGGED_DELAY) {
            val before = collected
            collected = collectionMilliseconds()
            logger.warn(
                "event=loop-late delay={} collection={}ms {}",
                delay,
                collected - before,
                work.takeSummary(),
            )
        } else {
            work.clear()
        }
    }

    /** Time of garbage collection since the start of the process. */
    private fun collectionMilliseconds(): Long = collectors.sumOf { it.collectionTime.coerceAtLeast(0) }

    private companion object {
        /** Callers of short requests notice this. */
        val LOGGED_DELAY = 250.milliseconds
    }
}
