package plantainturn.request.quarantine

/** Determines whether an upstream crashed after a request broke off there. */
public fun interface CrashProbe {
    /** Returns what is known of the run that [evidence] names. May block. */
    public fun verdictOf(evidence: CrashEvidence): CrashVerdict
}
