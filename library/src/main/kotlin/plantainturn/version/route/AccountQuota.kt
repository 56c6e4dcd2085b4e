package plantainturn.version.route

/**
 * The limit on a client account's requests, over all nodes together.
 *
 * @property unit what the rate and the burst count
 * @property perSecond units per second; 0 admits nothing
 * @property burst units that may be used at once beyond the rate
 * @property plainTokens tokens of a request that declares none
 */
public data class AccountQuota(
    val unit: QuotaUnit,
    val perSecond: Double,
    val burst: Double,
    val plainTokens: Int,
) {
    /** Returns what a request costs that declares [declaredTokens], null if it declares none; at least 1. */
    public fun costOf(declaredTokens: Long?): Long =
        when (unit) {
            QuotaUnit.REQUESTS -> 1
            QuotaUnit.TOKENS -> (declaredTokens ?: plainTokens.toLong()).coerceAtLeast(1)
        }
}
