package plantainturn.connection.log

import kotlin.time.Duration

/** Blocks the calling thread for a while, for instance between two tries. */
public fun interface Pause {
    /** Returns after [duration]. */
    public fun pause(duration: Duration)
}
