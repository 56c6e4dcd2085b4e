package plantainturn.version.route

/** Tells whether and how a request of a route may be retried. */
public enum class Repetition {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request runs at most once for each attempt of its caller. */
    AT_MOST_ONCE,

    /** The answer is a stream of events that no other upstream can resume; the request runs at most once. */
    STREAM,

    /** The answer is a stream of numbered events that another upstream can resume after any of them. */
    RESUMABLE_STREAM,

    ;

    /** Whether the answer is a stream of events. */
    public val streams: Boolean
        get() = this == STREAM || this == RESUMABLE_STREAM

    /** Whether a request that may already have run can be retried on another upstream. */
    public val repeatable: Boolean
        get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}
