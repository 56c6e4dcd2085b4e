package plantainturn.process.control.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timing of a [StoreLease]. All nodes of a deployment use the same values.
 *
 * @property term how long a renewal is valid, counted by the holder from when it sent the renewal
 * @property renewalPeriod the time between two renewals; each renewal is a billed call
 * @property contenderWait how long a contender waits after it read the last record: the term and a margin for clock
 *   drift; [claimSpread] comes on top
 * @property claimSpread the longest further wait, which differs by contender, so that not all of them make the calls
 *   of a claim that one of them wins
 * @property handOverPause the minimum time between the last order of one holder and the first of the next; set by
 *   the rules of the deployment
 * @property renewalRetryDelay the time between a failed renewal and the next attempt; each attempt is a billed call
 * @property readRetryDelay the longest time before a contender reads again after its first failed call
 * @property longestReadRetryDelay the longest time before a contender reads again after many failed calls
 * @property outageTolerance how long after its term a holder may issue orders while the store does not answer it; only
 *   where engines refuse old fences, which reject this holder once a successor has issued any order
 * @property suspensionTolerance how far the wall clock may move relative to the monotonic clock before this VM is
 *   assumed to have been suspended
 */
public data class StoreLeaseSettings(
    val term: Duration = 1_400.milliseconds,
    val renewalPeriod: Duration = 500.milliseconds,
    val contenderWait: Duration = 1_600.milliseconds,
    val claimSpread: Duration = 250.milliseconds,
    val handOverPause: Duration = 3.seconds,
    val renewalRetryDelay: Duration = 200.milliseconds,
    val readRetryDelay: Duration = 400.milliseconds,
    val longestReadRetryDelay: Duration = 2_500.milliseconds,
    val outageTolerance: Duration = Duration.ZERO,
    val suspensionTolerance: Duration = 150.milliseconds,
) {
    init {
        require(renewalPeriod.isPositive()) { "renewalPeriod must be positive" }
        require(term > renewalPeriod) { "term must be longer than renewalPeriod" }
        require(contenderWait > term) { "contenderWait must be longer than term" }
    }
}
