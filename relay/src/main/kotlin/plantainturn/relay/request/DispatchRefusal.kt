package plantainturn.relay.request

import plantainturn.process.ResultCode
import plantainturn.request.relay.DispatchDecision
import kotlin.time.Duration

/**
 * How a request is refused that no instance takes.
 *
 * @property details the inputs of the decision for the log
 */
internal class DispatchRefusal(
    val code: ResultCode,
    val details: String,
    val retryAfter: Duration,
) {
    companion object {
        /** Returns the refusal that [step] decides on, null if the request is sent. */
        fun of(
            step: PlacementStep.Decided,
            constraint: VersionConstraint,
        ): DispatchRefusal? {
            val candidates = step.candidates
            return when (val decision = step.decision) {
                is DispatchDecision.Send -> null
                is DispatchDecision.Rejected ->
                    DispatchRefusal(
                        ResultCode.OVERLOADED,
                        "expected=${decision.expected} candidates=$candidates",
                        decision.retryAfter,
                    )
                is DispatchDecision.AllBackingOff ->
                    DispatchRefusal(
                        ResultCode.UPSTREAMS_RESTING,
                        "candidates=$candidates",
                        decision.retryAfter,
                    )
                DispatchDecision.NoCandidate ->
                    DispatchRefusal(
                        ResultCode.NO_UPSTREAM,
                        "candidates=0 version=$constraint",
                        RequestLimits.NO_UPSTREAM_RETRY_AFTER,
                    )
            }
        }
    }
}
