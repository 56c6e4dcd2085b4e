package plantainturn.request.quarantine

/** Finds out whether an upstream crashed after a request broke off there. */
public fun interface CrashProbe {
    /** Returns whether the upstream of [evidence] does not answer, or runs as another incarnation. May block. */
    public fun isConfirmed(evidence: CrashEvidence): Boolean
}
