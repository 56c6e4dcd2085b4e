package plantainturn.request.relay

/**
 * What one request costs at one instance, as estimated when it was sent.
 *
 * @property unreadTokens prompt tokens that are not in the instance's cache
 * @property heldTokens cache tokens that it takes for itself
 */
public data class RequestWork(
    val unreadTokens: Int,
    val heldTokens: Int,
) {
    public companion object {
        /** The work of a request to a plain service, which has no prompt. */
        public val NONE: RequestWork = RequestWork(0, 0)
    }
}
