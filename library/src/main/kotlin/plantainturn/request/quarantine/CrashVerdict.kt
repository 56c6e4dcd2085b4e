package plantainturn.request.quarantine

/** What is known of a run of an upstream after a request broke off there. */
public enum class CrashVerdict {
    /** The run has ended. */
    CONFIRMED,

    /** The run gave a sign of life afterwards. */
    SURVIVED,

    /** Neither is known. The end of a run may show late, so this is no evidence in favor of the request. */
    UNKNOWN,
}
