package plantainturn.relay.residence

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides when each engine may be read again, with exponential backoff for engines that do not answer. */
internal class EngineReadSchedule(
    private val timer: TimerService,
) {
    private val readsInFlight = HashSet<UpstreamName>()
    private val lastReadStartedAt = HashMap<UpstreamName, Moment>()
    private val failures = HashMap<UpstreamName, Int>()

    /** Returns whether [engine] may be read: no read is in flight, and the last one started long enough ago. */
    fun mayRead(engine: UpstreamName): Boolean {
        val last = lastReadStartedAt[engine]
        return engine !in readsInFlight && (last == null || timer.now() - last >= readInterval(engine))
    }

    /** Records that a read of [engine] started. */
    fun onReadStarted(engine: UpstreamName) {
        readsInFlight += engine
        lastReadStartedAt[engine] = timer.now()
    }

    /** Records that [engine] answered. */
    fun onAnswer(engine: UpstreamName) {
        readsInFlight -= engine
        failures.remove(engine)
    }

    /** Records that [engine] did not answer, and returns its number of consecutive failures. */
    fun onFailure(engine: UpstreamName): Int {
        readsInFlight -= engine
        return failures.merge(engine, 1, Int::plus) ?: 1
    }

    /** Returns whether the last completed read of [engine] was answered; true before the first one. */
    fun isResponsive(engine: UpstreamName): Boolean = engine !in failures

    /** Permits a read of [engine] without delay, unless it did not answer the last one. */
    fun allowImmediateRead(engine: UpstreamName) {
        if (isResponsive(engine)) lastReadStartedAt.remove(engine)
    }

    /** Removes the history of [engine]. A read in flight stays recorded. */
    fun forget(engine: UpstreamName) {
        lastReadStartedAt.remove(engine)
        failures.remove(engine)
    }

    private fun readInterval(engine: UpstreamName): Duration =
        MINIMUM_READ_INTERVAL * (1 shl minOf(failures[engine] ?: 0, MAXIMUM_BACKOFF_DOUBLINGS))

    private companion object {
        /** Each read counts as a health check, and health checks are billed. */
        val MINIMUM_READ_INTERVAL = 250.milliseconds

        /** An engine that does not answer is soon removed from the roster or answers again within seconds. */
        const val MAXIMUM_BACKOFF_DOUBLINGS = 3
    }
}
