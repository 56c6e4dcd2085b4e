package plantainturn.process.control.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timing of a lease. All nodes of a deployment use the same values.
 *
 * @property term how long a renewal is valid, counted by the holder from when it sent the renewal
 * @property driftMargin how long a candidate waits beyond [term]; more than two clocks may drift apart in one term
 * @property renewalPeriod the time between two renewals
 * @property rankDelay how much longer a candidate waits for each candidate that ranks before it
 * @property snapshotRecords the number of records between two snapshots; these must arrive in far less time than the
 * log's retention
 */
public data class LeaseSettings(
    val term: Duration = 8.seconds,
    val driftMargin: Duration = 1.seconds,
    val renewalPeriod: Duration = 2.seconds,
    val rankDelay: Duration = 500.milliseconds,
    val snapshotRecords: Int = 200,
) {
    init {
        require(renewalPeriod.isPositive()) { "renewalPeriod must be positive" }
        require(term > renewalPeriod) { "term must be longer than renewalPeriod" }
        require(driftMargin.isPositive()) { "driftMargin must be positive" }
        require(!rankDelay.isNegative()) { "rankDelay must not be negative" }
        require(snapshotRecords > 0) { "snapshotRecords must be positive" }
    }
}
