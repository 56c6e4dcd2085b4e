package plantainturn.request.relay

import kotlin.time.Duration

/**
 * What one request costs at one instance, as estimated when it was sent.
 *
 * @property prefillTokens prompt tokens that are not in the instance's prefix cache
 * @property usedCacheTokens KV cache tokens that the request uses
 * @property prefillTime time in which the instance processes its prompt
 */
public data class RequestWork(
    val prefillTokens: Int,
    val usedCacheTokens: Int,
    val prefillTime: Duration = Duration.ZERO,
) {
    public companion object {
        /** The work of a request to a plain service, which has no prompt. */
        public val NONE: RequestWork = RequestWork(0, 0)
    }
}
