package plantainturn.process.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of one process's monotonic clock.
 *
 * Moments of one [TimerService] can be compared and subtracted. A moment is not a wall-clock time and is meaningless in
 * another process, so it is never sent to a peer or written to the log.
 *
 * @property nanoseconds nanoseconds since an arbitrary origin that is fixed for the process
 */
@JvmInline
public value class Moment(
    public val nanoseconds: Long,
) : Comparable<Moment> {
    /** Returns the moment that is [duration] after this one. */
    public operator fun plus(duration: Duration): Moment = Moment(nanoseconds + duration.inWholeNanoseconds)

    /** Returns the moment that is [duration] before this one. */
    public operator fun minus(duration: Duration): Moment = Moment(nanoseconds - duration.inWholeNanoseconds)

    /** Returns the time from [earlier] to this moment, negative if [earlier] is the later one. */
    public operator fun minus(earlier: Moment): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

    override fun compareTo(other: Moment): Int = nanoseconds.compareTo(other.nanoseconds)

    public companion object {
        /** The origin of the clock. */
        public val ORIGIN: Moment = Moment(0)
    }
}
