package plantainturn.request.relay

import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** Where a request goes now. */
public sealed interface DispatchDecision {
    /**
     * It is sent.
     *
     * @property rank its rank among the engine's requests; 0 goes first
     * @property expected when its first event is expected, zero for a plain service
     * @property tokensAhead prompt tokens of other requests that are to be read before it, as far as known
     */
    public data class Send(
        val instance: UpstreamName,
        val rank: Int,
        val expected: Duration,
        val tokensAhead: Int = 0,
    ) : DispatchDecision

    /** It can't be answered in time; it is worth coming back after [retryAfter]. */
    public data class Rejected(
        val retryAfter: Duration,
        val expected: Duration,
    ) : DispatchDecision

    /** Each instance that could take it asked to be sent nothing; the first such rest ends after [retryAfter]. */
    public data class AllBackingOff(
        val retryAfter: Duration,
    ) : DispatchDecision

    /** No instance can take it at all. */
    public data object NoCandidate : DispatchDecision
}
