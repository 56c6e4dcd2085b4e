package plantainturn.request.quarantine

/** What is known of an upstream after a request broke off there. */
public enum class CrashVerdict {
    /** That run of the upstream has ended. */
    CONFIRMED,

    /** That run of the upstream was heard from afterwards. */
    SURVIVED,

    /** Neither shows. An end may show late, so this says nothing for the request. */
    UNKNOWN,
}
