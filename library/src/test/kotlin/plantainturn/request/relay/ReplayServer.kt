package plantainturn.request.relay

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import java.util.LinkedHashSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A server of a [UnevenReplay]: a plain service, or an engine that processes prompts one after the other.
 *
 * @property speed of the machine, 1 as nominal
 * @property slowsFrom fraction of the slots in use above which work takes longer in proportion
 * @property noise how many times as long work takes at a moment
 * @property failsAt whether requests that arrive at a moment are answered with an error at once
 */
internal class ReplayServer(
    val name: UpstreamName,
    val speed: Double,
    val slots: Int,
    val isEngine: Boolean,
    private val slowsFrom: Double = 1.0,
    private val noise: (Duration) -> Double = { 1.0 },
    private val failsAt: (Duration) -> Boolean = { false },
    private val cachedParts: Int = 20,
) {
    private val waiting = ArrayDeque<Arrival>()
    private val cache = LinkedHashSet<String>()
    private var promptsDoneAt = Moment.ORIGIN
    private var begun = 0

    val running: Int get() = begun + waiting.size
    var taken = 0
        private set

    /** Engine time of all requests that it took, in the time of a machine of nominal speed. */
    var work = Duration.ZERO
        private set
    var cachedTokens = 0L
        private set

    fun fails(now: Moment): Boolean = failsAt(now - Moment.ORIGIN)

    /** Returns what it states: how long work takes at this moment, 100 as usual for this machine. */
    fun stated(now: Moment): Int = (100 * slowness(now) * speed).toInt()

    fun arrive(arrival: Arrival) {
        taken += 1
        waiting += arrival
    }

    /** Begins the next waiting request if a slot is free; null if none can begin. */
    fun beginNext(now: Moment): Begun? {
        if (begun >= slots) return null
        val arrival = waiting.removeFirstOrNull() ?: return null
        begun += 1
        val demand = arrival.demand
        if (demand == null) {
            work += arrival.serviceTime
            val end = now + arrival.serviceTime * slowness(now)
            return Begun(arrival, end, end)
        }
        val unread = demand.promptTokens - takeCached(demand)
        work += PER_TOKEN * unread + PER_OUTPUT_TOKEN * demand.outputTokens
        promptsDoneAt = maxOf(promptsDoneAt, now) + PER_TOKEN * unread * slowness(now)
        val firstEvent = promptsDoneAt + BASE
        return Begun(arrival, firstEvent, firstEvent + STEP * demand.outputTokens * slowness(now))
    }

    /** Returns how many tokens of the prompt are in the cache, and keeps its shared part there. */
    private fun takeCached(demand: GenerationDemand): Int {
        val shared = demand.lastSharedPart ?: return 0
        val tokens = if (cache.remove(shared)) demand.parts.first().tokens else 0
        cache += shared
        if (cache.size > cachedParts) cache.remove(cache.first())
        cachedTokens += tokens
        return tokens
    }

    fun end() {
        begun -= 1
    }

    private fun slowness(now: Moment): Double {
        val crowding = if (begun > slowsFrom * slots) begun / (slowsFrom * slots) else 1.0
        return noise(now - Moment.ORIGIN) / speed * crowding
    }

    /** A request on its way, as its node sent it. */
    class Arrival(
        val sentAt: Moment,
        val node: Int,
        val serviceTime: Duration,
        val demand: GenerationDemand?,
        val requestWork: RequestWork,
        val decision: DispatchDecision.Send,
        val crowding: Double,
    )

    /** A request that runs, with the moments of its first event and of its end. */
    class Begun(
        val arrival: Arrival,
        val firstEventAt: Moment,
        val endAt: Moment,
    )

    private companion object {
        val BASE = 25.milliseconds
        val PER_TOKEN = 0.026.milliseconds
        val PER_OUTPUT_TOKEN = 0.07.milliseconds
        val STEP = 12.milliseconds
    }
}
