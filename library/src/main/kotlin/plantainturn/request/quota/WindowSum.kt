package plantainturn.request.quota

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The sum of what was charged to an account within the last [window], rounded up to whole slots of time. */
internal class WindowSum(
    private val window: Duration,
) {
    private val slots = ArrayDeque<Slot>()

    var sum = 0.0
        private set

    fun add(
        amount: Double,
        now: Moment,
    ) {
        val last = slots.lastOrNull()
        val slot = if (last != null && now < last.end) last else Slot(now + SLOT).also { slots += it }
        slot.amount += amount
        sum += amount
    }

    /** Forgets what has left the window at [now]. */
    fun advance(now: Moment) {
        while (slots.firstOrNull()?.let { it.end + window <= now } == true) sum -= slots.removeFirst().amount
        if (slots.isEmpty()) sum = 0.0
    }

    /** Returns when the sum falls to [limit] if nothing is added, which is [now] if it has; null if it never does. */
    fun fallsTo(
        limit: Double,
        now: Moment,
    ): Moment? {
        if (sum <= limit) return now
        var left = sum
        for (slot in slots) {
            left -= slot.amount
            if (left <= limit) return slot.end + window
        }
        return null
    }

    private class Slot(
        val end: Moment,
    ) {
        var amount = 0.0
    }

    private companion object {
        /** Bounds the memory and time of an account; a small part of any window. */
        val SLOT = 100.milliseconds
    }
}
