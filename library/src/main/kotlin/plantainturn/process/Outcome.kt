package plantainturn.process

/** What a result says about the execution of a request. */
public enum class Outcome {
    /** The request ran and the caller has its whole answer. */
    ANSWERED,

    /** The request provably did not run, and will not. */
    NOT_RUN,

    /** The request ran, at least in part, and there is no whole answer. */
    FAILED,

    /** It cannot be known whether the request ran. */
    UNKNOWN,
}
