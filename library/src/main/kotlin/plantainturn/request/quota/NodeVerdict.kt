package plantainturn.request.quota

import kotlin.time.Duration

/** What a node decides by itself about a request of an account that has a quota. */
public sealed interface NodeVerdict {
    /** The request is admitted, and counted in the node's total. */
    public data object Admitted : NodeVerdict

    /** The desk has to be asked. */
    public data object Ask : NodeVerdict

    /**
     * The account has used its quota.
     *
     * @property wait when the quota may have room for the request
     */
    public data class Exceeded(
        val wait: Duration,
    ) : NodeVerdict

    /**
     * The desk is silent, and the node's own part of the rate is used.
     *
     * @property wait when it is worth asking again
     */
    public data class Unavailable(
        val wait: Duration,
    ) : NodeVerdict
}
