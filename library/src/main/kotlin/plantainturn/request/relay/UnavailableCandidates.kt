package plantainturn.request.relay

/**
 * Decides for a request whose [candidates] all asked for a backoff, or that has none.
 *
 * The caller is told at once when the first backoff ends, instead of waiting for it.
 */
internal fun decideWithoutAvailable(candidates: List<DispatchCandidate>): DispatchDecision =
    candidates
        .mapNotNull { it.backoffRemaining }
        .minOrNull()
        ?.let(DispatchDecision::AllBackingOff)
        ?: DispatchDecision.NoCandidate
