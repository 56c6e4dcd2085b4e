package plantainturn.daemon.settings

import kotlinx.serialization.Serializable

/**
 * The timing of the controller's lease.
 *
 * @property termMilliseconds the time for which a renewal that was read back allows its holder to act
 * @property driftMarginMilliseconds what a candidate waits beyond the term before it claims
 * @property orderDelayBoundMilliseconds the longest time after which an order that was sent may still arrive
 */
@Serializable
public data class LeaseSettings(
    val termMilliseconds: Long = DEFAULT_TERM_MILLISECONDS,
    val driftMarginMilliseconds: Long = DEFAULT_DRIFT_MARGIN_MILLISECONDS,
    val orderDelayBoundMilliseconds: Long = DEFAULT_ORDER_DELAY_BOUND_MILLISECONDS,
) {
    private companion object {
        const val DEFAULT_TERM_MILLISECONDS = 6_000L
        const val DEFAULT_DRIFT_MARGIN_MILLISECONDS = 1_000L
        const val DEFAULT_ORDER_DELAY_BOUND_MILLISECONDS = 10_000L
    }
}
