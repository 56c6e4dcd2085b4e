package plantainturn.request.quota

import plantainturn.process.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The part of the accounts' quotas that a node may use by itself.
 *
 * Other than what nodes share for repetitions, it lasts through a long silence of the issuer; desks count on that, see
 * [SilentParts]. Confined to one thread.
 */
public class QuotaShare {
    private var confirmed = 0.0
    private var validUntil = Moment.ORIGIN

    /** Sets the [fraction] confirmed in the answer to a report sent at [sentAt]; it lapses one [TERM] after that. */
    public fun confirm(
        fraction: Double,
        sentAt: Moment,
    ) {
        confirmed = fraction
        validUntil = sentAt + TERM
    }

    /** Returns the fraction of each quota that may be used at [now], from 0 to 1. */
    public fun fractionAt(now: Moment): Double = if (now < validUntil) confirmed else 0.0

    public companion object {
        /**
         * Longer than busy issuers were seen to answer nobody (11 s), and shorter than the time after which a silent
         * process's fraction is given to others.
         */
        public val TERM: Duration = 20.seconds
    }
}
