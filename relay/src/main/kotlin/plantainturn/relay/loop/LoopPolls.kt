package plantainturn.relay.loop

import io.netty.channel.SelectStrategy
import io.netty.channel.SelectStrategyFactory
import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Observes when an event loop polls the network, and so how late it handles what has arrived.
 *
 * What is handled after one poll had not arrived at the poll before. An overloaded loop polls rarely: a request may
 * have waited in its socket for as long as the loop's last turn took, and its caller may have left since. Confined to
 * the loop, but created before it. Without a loop it knows of no delay.
 */
public class LoopPolls(
    private val now: () -> Moment = { Moment(System.nanoTime()) },
) : SelectStrategyFactory {
    private var latest = now()
    private var before = latest

    /** The number of polls so far. */
    public var count: Long = 0L
        private set

    /** How long ago the network was last polled; an idle loop waits within a poll. */
    public val age: Duration
        get() = now() - latest

    /** Whether more may have arrived by now than is known, because the last poll was long ago. */
    public val isOverdue: Boolean
        get() = count > 0 && age > TOLERANCE

    /** Returns the earliest moment at which something may have arrived that is handled now and was not there before. */
    public fun earliestArrival(): Moment {
        val now = now()
        return if (count > 0 && now - before > TOLERANCE) before else now
    }

    override fun newSelectStrategy(): SelectStrategy =
        SelectStrategy { selectNow, hasTasks ->
            val ready = if (hasTasks) selectNow.get() else SelectStrategy.SELECT
            onPoll()
            ready
        }

    /** Records that the network is polled now. */
    internal fun onPoll() {
        before = latest
        latest = now()
        count += 1
    }

    private companion object {
        /** Twice what an idle loop waits in two polls, and less than callers notice. */
        val TOLERANCE = 200.milliseconds
    }
}
