package plantainturn.request.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * How fingerprints get into quarantine and out of it.
 *
 * @property quarantineDuration how long a fingerprint is not run
 * @property suspicionDuration how long a break at one upstream is held against a fingerprint
 * @property episodeDuration the time within which breaks at one upstream count as one crash, and crashes of several
 *   upstreams as one outage
 * @property maximumAtRisk runs of upstreams that a suspect may put at risk, those in an outage not counted
 * @property maximumRivals fingerprints with the same evidence among which blame is still narrow enough
 * @property outageUpstreams upstreams that broke without the fingerprint, from which on an outage is to blame instead
 * @property capacity fingerprints that are remembered at most
 */
public data class QuarantineSettings(
    val quarantineDuration: Duration = 10.minutes,
    val suspicionDuration: Duration = 60.seconds,
    val episodeDuration: Duration = 5.seconds,
    val maximumAtRisk: Int = 2,
    val maximumRivals: Int = 2,
    val outageUpstreams: Int = 2,
    val capacity: Int = 1_024,
)
