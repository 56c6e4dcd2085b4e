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
    private val open = HashSet<UpstreamName>()
    private val askedAt = HashMap<UpstreamName, Moment>()
    private val failures = HashMap<UpstreamName, Int>()

    /** Whether [engine] may be asked again: no question is open, and the last one was long enough ago. */
    fun mayAsk(engine: UpstreamName): Boolean {
        val last = askedAt[engine]
        return engine !in open && (last == null || timer.now() - last >= pauseOf(engine))
    }

    /** Notes that [engine] is asked. */
    fun onAsked(engine: UpstreamName) {
        open += engine
        askedAt[engine] = timer.now()
    }

    /** Notes that [engine] answered. */
    fun onAnswer(engine: UpstreamName) {
        open -= engine
        failures.remove(engine)
    }

    /** Notes that [engine] did not answer, and returns how often it did not by now. */
    fun onFailure(engine: UpstreamName): Int {
        open -= engine
        return failures.merge(engine, 1, Int::plus) ?: 1
    }

    /** Whether [engine] answered when it was last asked. */
    fun answers(engine: UpstreamName): Boolean = engine !in failures

    /** Lets [engine] be asked at once, unless it did not answer. */
    fun askSoon(engine: UpstreamName) {
        if (answers(engine)) askedAt.remove(engine)
    }

    /** Forgets [engine]. */
    fun forget(engine: UpstreamName) {
        askedAt.remove(engine)
        failures.remove(engine)
    }

    private fun pauseOf(engine: UpstreamName): Duration =
        PAUSE * (1 shl minOf(failures[engine] ?: 0, MAXIMUM_PAUSE_DOUBLINGS))

    private companion object {
        /** Each question counts like a health check, and these are billed. */
        val PAUSE = 250.milliseconds

        /** An engine that does not answer is soon dropped, or comes back in seconds. */
        const val MAXIMUM_PAUSE_DOUBLINGS = 3
    }
}
