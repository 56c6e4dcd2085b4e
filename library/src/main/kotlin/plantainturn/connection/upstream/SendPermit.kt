package plantainturn.connection.upstream

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/**
 * The right to have one attempt in flight at [upstream].
 *
 * It must be ended, whatever becomes of the attempt.
 */
public class SendPermit internal constructor(
    public val upstream: UpstreamName,
    private val usage: SingleUpstreamUsage,
    private val begun: Moment,
) {
    private val started = AtomicBoolean()
    private val ended = AtomicBoolean()

    /**
     * Records that the attempt's first token came at [now]. Only the first call counts.
     *
     * @param target the time to the first token that is wanted
     */
    public fun firstToken(
        now: Moment,
        target: Duration,
    ) {
        if (started.compareAndSet(false, true)) usage.firstToken(now - begun, target, now)
    }

    /**
     * Gives the permit back at [now]. Only the first call counts.
     *
     * @param failed whether the upstream refused the attempt, could not be reached or broke it
     * @param slow whether the answer is whole and its tokens came later than the target allows; null if that is not
     *   known
     */
    public fun end(
        now: Moment,
        failed: Boolean,
        slow: Boolean? = null,
    ) {
        if (ended.compareAndSet(false, true)) usage.end(begun, now, failed, slow)
    }
}
