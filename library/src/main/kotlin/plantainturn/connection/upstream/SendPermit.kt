package plantainturn.connection.upstream

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/**
 * The right to have one attempt in flight at [upstream].
 *
 * It must be ended, whatever becomes of the attempt. Safe for use by several threads.
 */
public class SendPermit internal constructor(
    public val upstream: UpstreamName,
    private val usage: SingleUpstreamUsage,
    internal val begun: Moment,
) {
    /** Guarded by the lock of the usage. */
    internal var firstTokenSeen: Boolean = false

    /** Guarded by the lock of the usage. */
    internal var ended: Boolean = false

    /**
     * Records that the attempt's first token came at [now]. Only the first call counts.
     *
     * @param target the time to the first token that is wanted
     */
    public fun firstToken(
        now: Moment,
        target: Duration,
    ): Unit = usage.firstToken(this, now, target)

    /**
     * Gives the permit back at [now]. Only the first call counts.
     *
     * @param failed whether the upstream refused the attempt, could not be reached or broke it
     */
    public fun end(
        now: Moment,
        failed: Boolean,
        slow: Boolean? = null,
    ): Unit = usage.end(this, now, failed, slow)
}
