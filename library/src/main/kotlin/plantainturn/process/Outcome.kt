package plantainturn.process

/** What a result states about the execution of a request. */
public enum class Outcome {
    /** The request ran and the caller has the complete answer. */
    ANSWERED,

    /** The request provably did not run, and will not. */
    NOT_RUN,

    /** The request ran, at least in part, but there is no complete answer. */
    FAILED,

    /** It is unknown whether the request ran. */
    UNKNOWN,
}
