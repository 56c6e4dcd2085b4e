package plantainturn.process.time

import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * A [TimerService] whose clock moves only by [advance] and [advanceTo].
 *
 * Tests and replays use it for deterministic execution. Actions that are due at the same moment run in the order in
 * which they were scheduled. Not thread-safe.
 */
public class VirtualTimerService(
    start: Moment = Moment.ORIGIN,
) : TimerService {
    private val queue = PriorityQueue(compareBy<Entry>({ it.due }, { it.sequence }))
    private var current = start
    private var nextSequence = 0L

    override fun now(): Moment = current

    override fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        val entry = Entry(current + delay.coerceAtLeast(Duration.ZERO), nextSequence++, action)
        queue.add(entry)
        return TimerSubscription { entry.cancelled = true }
    }

    override fun subscribe(
        period: Duration,
        action: () -> Unit,
    ): TimerSubscription {
        require(period.isPositive()) { "period must be positive: $period" }
        var cancelled = false

        fun tick() {
            if (cancelled) return
            action()
            schedule(period, ::tick)
        }
        schedule(period, ::tick)
        return TimerSubscription { cancelled = true }
    }

    /** Moves the clock forward by [duration] and runs all actions that become due, in order. */
    public fun advance(duration: Duration) {
        advanceTo(current + duration)
    }

    /** Moves the clock forward to [target] and runs all actions that become due, in order. */
    public fun advanceTo(target: Moment) {
        var entry = pollDueBy(target)
        while (entry != null) {
            current = entry.due
            if (!entry.cancelled) entry.action()
            entry = pollDueBy(target)
        }
        if (target > current) current = target
    }

    /** Returns the moment of the next scheduled action, or null if there is none. */
    public fun nextDue(): Moment? = queue.peek()?.due

    private fun pollDueBy(target: Moment): Entry? {
        val next = queue.peek() ?: return null
        return if (next.due <= target) queue.poll() else null
    }

    private class Entry(
        val due: Moment,
        val sequence: Long,
        val action: () -> Unit,
        var cancelled: Boolean = false,
    )
}
