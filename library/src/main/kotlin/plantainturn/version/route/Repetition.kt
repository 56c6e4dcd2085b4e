package plantainturn.version.route

/** What may be done again with a request of a route. */
public enum class Repetition {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request runs once at most for each attempt of its caller. */
    AT_MOST_ONCE,

    /** The answer is a stream of events that can't be continued elsewhere; the request runs once at most. */
    STREAM,

    /** The answer is a stream of numbered events that another upstream can continue after any of them. */
    RESUMABLE_STREAM,

    ;

    /** Whether the answer is a stream of events. */
    public val streams: Boolean
        get() = this == STREAM || this == RESUMABLE_STREAM

    /** Whether a request that may have run can be given to another upstream. */
    public val repeatable: Boolean
        get() = this == IDEMPOTENT || this == RESUMABLE_STREAM
}
