package plantainturn.relay.request

import kotlin.time.Duration

/** What became of a request that asked for a part of its account's quota. */
internal sealed interface QuotaDecision {
    /** The request may run; its cost was charged. */
    data object Admitted : QuotaDecision

    /**
     * The account has used its quota; nothing was charged.
     *
     * @property retryAfter when the quota has room for the request again
     */
    data class Exceeded(
        val retryAfter: Duration,
    ) : QuotaDecision

    /**
     * Nobody can tell at present whether the quota has room, and this node's own share of it is used; nothing was
     * charged.
     *
     * @property retryAfter when it is worth asking again
     */
    data class Unavailable(
        val retryAfter: Duration,
    ) : QuotaDecision
}
