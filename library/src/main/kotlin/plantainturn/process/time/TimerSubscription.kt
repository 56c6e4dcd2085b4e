package plantainturn.process.time

/** A handle on scheduled work of a [TimerService]. */
public fun interface TimerSubscription {
    /** Cancels the work. A run that has begun is not interrupted. Repeated calls have no effect. */
    public fun cancel()
}
