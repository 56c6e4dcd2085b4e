package plantainturn.request.routing

import plantainturn.connection.upstream.UpstreamView
import kotlin.time.Duration

/** Where a request should go. */
public sealed interface RouteDecision {
    /**
     * Send it to [upstream].
     *
     * @property expectedFirstToken the time to the first token that is expected there
     */
    public data class Chosen(
        val upstream: UpstreamView,
        val expectedFirstToken: Duration,
    ) : RouteDecision

    /** Upstreams hold the target, and this node has as much in flight at each as it allows itself. */
    public data object Busy : RouteDecision

    /** No upstream holds the target ready, but one is loading it or holds the base model of the adapter. */
    public data object Pending : RouteDecision

    /** No upstream that takes work holds the target. */
    public data object NoHolder : RouteDecision
}
