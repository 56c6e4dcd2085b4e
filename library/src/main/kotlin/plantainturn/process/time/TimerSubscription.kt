package plantainturn.process.time

/** A handle to work scheduled with a [TimerService]. */
public fun interface TimerSubscription {
    /** Cancels the work. An action that is already running is not interrupted. Repeated calls have no effect. */
    public fun cancel()
}
