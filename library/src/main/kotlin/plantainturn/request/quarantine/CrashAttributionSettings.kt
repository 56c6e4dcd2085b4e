package plantainturn.request.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and durations of [CrashAttribution].
 *
 * @property quarantineDuration how long a trait stays blocked after its last break or trial
 * @property suspicionDuration how long a break counts
 * @property answeredBreaks breaks after which a part is blocked that was answered before
 * @property answeredSpacing the least time between breaks that count separately against a part that was answered
 *   before, so that an outage of many upstreams counts once
 * @property firstTrialDelay time after which a part that was blocked may be tried again; short, since parts that were
 *   never answered can't be told from the one that is to blame if they come with it. It also applies to a request that
 *   was answered before
 * @property mixedTrialDelay how much later it may be tried by a request that has other suspect parts too, after which a
 *   crash would tell nothing
 * @property laterTrialDelay time between the first trial and the second one, and before the only trial of a request
 *   that was never answered
 * @property trialBackoff factor by which that time grows with each further trial
 * @property capacity maximum number of traits with breaks that are remembered
 * @property answeredCapacity maximum number of answered parts that are remembered, and of answered requests
 */
public data class CrashAttributionSettings(
    val quarantineDuration: Duration = 1.hours,
    val suspicionDuration: Duration = 10.minutes,
    val answeredBreaks: Int = 4,
    val answeredSpacing: Duration = 1.seconds,
    val firstTrialDelay: Duration = 2.seconds,
    val mixedTrialDelay: Duration = 10.seconds,
    val laterTrialDelay: Duration = 60.seconds,
    val trialBackoff: Int = 4,
    val capacity: Int = 8_192,
    val answeredCapacity: Int = 16_384,
)
