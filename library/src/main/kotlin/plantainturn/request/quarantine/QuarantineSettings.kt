package plantainturn.request.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and durations of suspicion and quarantine.
 *
 * @property quarantineDuration how long a fingerprint is quarantined
 * @property suspicionDuration how long a break at one upstream counts against a fingerprint
 * @property episodeDuration the time within which breaks at one upstream count as one crash, and crashes of several
 *   upstreams as one outage
 * @property maximumAtRisk runs of upstreams that a suspect may put at risk, not counting those in an outage
 * @property maximumCoSuspects the most suspects in flight at a crashed upstream for which the crash is still attributed
 *   to each of them
 * @property outageUpstreams number of upstreams that broke without the fingerprint from which on an outage is assumed
 *   to be the cause
 * @property capacity maximum number of fingerprints that are remembered
 */
public data class QuarantineSettings(
    val quarantineDuration: Duration = 10.minutes,
    val suspicionDuration: Duration = 60.seconds,
    val episodeDuration: Duration = 5.seconds,
    val maximumAtRisk: Int = 2,
    val maximumCoSuspects: Int = 2,
    val outageUpstreams: Int = 2,
    val capacity: Int = 1_024,
)
