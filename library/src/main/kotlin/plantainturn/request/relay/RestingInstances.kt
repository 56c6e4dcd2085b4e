package plantainturn.request.relay

/** Decides for a request whose [candidates] all rest, or that has none: it is told at once when the first rest ends. */
internal fun withoutAwake(candidates: List<DispatchCandidate>): DispatchDecision =
    candidates
        .mapNotNull { it.backoffRemaining }
        .minOrNull()
        ?.let(DispatchDecision::AllBackingOff)
        ?: DispatchDecision.NoCandidate
