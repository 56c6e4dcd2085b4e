package plantainturn.request.quarantine

/** Finds out whether an upstream crashed after a request broke off there. */
public fun interface CrashProbe {
    /** Returns what became of the upstream's run that [evidence] names. May block. */
    public fun verdictOf(evidence: CrashEvidence): CrashVerdict
}
