package plantainturn.request.quarantine

/**
 * A request with [traits] broke off at the run in [evidence].
 *
 * @property answered those of the traits that the node which noticed it knew to have been answered before
 * @property at when it was noticed, in Unix milliseconds of that node
 */
public data class RequestBreak(
    val traits: RequestTraits,
    val evidence: CrashEvidence,
    val answered: Set<RequestFingerprint>,
    val at: Long,
) {
    /** Returns whether [other] is of the same request at the same run. */
    internal fun isSame(other: RequestBreak): Boolean =
        evidence == other.evidence && traits.request == other.traits.request
}
