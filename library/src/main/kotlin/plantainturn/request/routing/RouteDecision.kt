package plantainturn.request.routing

import plantainturn.connection.upstream.UpstreamView
import kotlin.time.Duration

/** The result of routing a request. */
public sealed interface RouteDecision {
    /**
     * The request should be sent to [upstream].
     *
     * @property expectedFirstToken the expected time to the first token there
     */
    public data class Chosen(
        val upstream: UpstreamView,
        val expectedFirstToken: Duration,
    ) : RouteDecision

    /** Upstreams hold the target ready, but each that may be chosen is at this node's limit or its load limit. */
    public data object Busy : RouteDecision

    /** No upstream holds the target ready, but one is loading it or holds the base model of the adapter. */
    public data object Pending : RouteDecision

    /** No upstream that takes work and is permitted for the request holds the target. */
    public data object NoHolder : RouteDecision
}
