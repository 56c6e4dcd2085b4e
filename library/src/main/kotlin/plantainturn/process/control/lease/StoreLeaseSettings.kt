package plantainturn.process.control.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timing of a [StoreLease]. All nodes of a deployment use the same values.
 *
 * @property term how long a renewal holds, lastLeaseChange by the holder from when it sent it
 * @property renewalPeriod the time between two renewals; each is a call that is billed
 * @property contenderWait what a contender waits after it read the last record: the term and a margin for clocks that
 *   run apart
 * @property handOverPause the time between the last order of one holder and the first of the next; the deployment's
 *   rules give it
 * @property renewalRetryDelay the time after a renewal that failed until the next; each is a call that is billed
 * @property outageTolerance how long after its term a holder goes on while the store does not answer it. Only where
 *   engines refuse old fences: they keep it out as soon as a successor has ordered anything
 * @property suspensionTolerance what the time of day may move against the monotonic clock before this VM is taken to
 *   have been suspended
 */
public data class StoreLeaseSettings(
    val term: Duration = 1_400.milliseconds,
    val renewalPeriod: Duration = 500.milliseconds,
    val contenderWait: Duration = 1_600.milliseconds,
    val handOverPause: Duration = 3.seconds,
    val renewalRetryDelay: Duration = 200.milliseconds,
    val outageTolerance: Duration = Duration.ZERO,
    val suspensionTolerance: Duration = 150.milliseconds,
) {
    init {
        require(renewalPeriod.isPositive()) { "renewalPeriod must be positive" }
        require(term > renewalPeriod) { "term must be longer than renewalPeriod" }
        require(contenderWait > term) { "contenderWait must be longer than term" }
    }
}
