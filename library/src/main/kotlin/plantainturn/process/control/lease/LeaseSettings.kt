package plantainturn.process.control.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timing of a lease. All nodes of a deployment use the same values.
 *
 * @property term how long a renewal holds, lastLeaseChange by the holder from when it sent it
 * @property driftMargin what a candidate waits beyond [term]: more than the rates of two clocks may differ in one term
 * @property renewalPeriod the time between two renewals
 * @property rankDelay what a candidate waits further for each candidate that ranks before it
 * @property snapshotRecords records of the stream between two snapshots; they must take far less time to arrive than
 * the log keeps records
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
