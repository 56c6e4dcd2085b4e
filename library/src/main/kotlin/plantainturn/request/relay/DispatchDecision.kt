package plantainturn.request.relay

import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** Where a request is sent, or why it is not sent now. */
public sealed interface DispatchDecision {
    /**
     * The request is sent to [instance].
     *
     * @property rank scheduling rank among the engine's requests; 0 goes first
     * @property expected expected time to the first event, zero for a plain service
     * @property tokensAhead prompt tokens of other requests that are processed before it, as far as known
     */
    public data class Send(
        val instance: UpstreamName,
        val rank: Int,
        val expected: Duration,
        val tokensAhead: Int = 0,
    ) : DispatchDecision

    /** The request can't be answered in time; a retry is worthwhile after [retryAfter]. */
    public data class Rejected(
        val retryAfter: Duration,
        val expected: Duration,
    ) : DispatchDecision

    /** Every instance that could take the request asked for a backoff; the first one ends after [retryAfter]. */
    public data class AllBackingOff(
        val retryAfter: Duration,
    ) : DispatchDecision

    /** No instance can take the request. */
    public data object NoCandidate : DispatchDecision
}
