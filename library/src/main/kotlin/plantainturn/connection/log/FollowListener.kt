package plantainturn.connection.log

/** Learns what a [StreamFollower] folds. Calls come in the order of the stream, one at a time, and must be short. */
public fun interface FollowListener<S, V> {
    /**
     * Called after records were folded or a snapshot was adopted, and when the end is reached for the first time.
     *
     * A snapshot brings a new [position] without the [verdicts] on the records that it covers.
     */
    public fun onFolded(
        position: StreamPosition<S>,
        verdicts: List<V>,
        caughtUp: Boolean,
    )
}
