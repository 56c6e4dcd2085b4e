package plantainturn.relay.residence

import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When engines were asked what they hold, and which did not answer. Those are asked less and less often. */
internal class EngineReadSchedule(
    private val timer: TimerService,
) {
    private val readsInFlight = HashSet<UpstreamName>()
    private val lastReadStartedAt = HashMap<UpstreamName, Moment>()
    private val failures = HashMap<UpstreamName, Int>()

    /** Whether [engine] may be asked again: no question is readsInFlight, and the last one was long enough ago. */
    fun mayRead(engine: UpstreamName): Boolean {
        val last = lastReadStartedAt[engine]
        return engine !in readsInFlight && (last == null || timer.now() - last >= readInterval(engine))
    }

    /** Notes that [engine] is asked. */
    fun onReadStarted(engine: UpstreamName) {
        readsInFlight += engine
        lastReadStartedAt[engine] = timer.now()
    }

    /** Notes that [engine] answered. */
    fun onAnswer(engine: UpstreamName) {
        readsInFlight -= engine
        failures.remove(engine)
    }

    /** Notes that [engine] did not answer, and returns how often it did not by now. */
    fun onFailure(engine: UpstreamName): Int {
        readsInFlight -= engine
        return failures.merge(engine, 1, Int::plus) ?: 1
    }

    /** Whether [engine] answered when it was last asked. */
    fun isResponsive(engine: UpstreamName): Boolean = engine !in failures

    /** Lets [engine] be asked at once, unless it did not answer. */
    fun allowImmediateRead(engine: UpstreamName) {
        if (isResponsive(engine)) lastReadStartedAt.remove(engine)
    }

    /** Forgets [engine]. */
    fun forget(engine: UpstreamName) {
        lastReadStartedAt.remove(engine)
        failures.remove(engine)
    }

    private fun readInterval(engine: UpstreamName): Duration =
        MINIMUM_READ_INTERVAL * (1 shl minOf(failures[engine] ?: 0, MAXIMUM_BACKOFF_DOUBLINGS))

    private companion object {
        /** Each question counts like a health check, and these are billed. */
        val MINIMUM_READ_INTERVAL = 250.milliseconds

        /** An engine that does not answer is soon dropped, or comes back in seconds. */
        const val MAXIMUM_BACKOFF_DOUBLINGS = 3
    }
}
