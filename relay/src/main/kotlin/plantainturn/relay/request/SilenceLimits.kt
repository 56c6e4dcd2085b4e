package plantainturn.relay.request

import plantainturn.version.route.Route
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long an instance may be silent before a request that can be repeated goes elsewhere.
 *
 * A sound instance may be silent for a second or so and go on. So only the caller's time counts: when its answer would
 * be late in any case, or just before it would give up.
 */
internal object SilenceLimits {
    /** A request is repeated elsewhere if its answer takes longer than its objective times this factor. */
    private const val OBJECTIVE_FACTOR = 2.5

    /** An instance of a plain service that is at its limit takes about this long for a request. */
    private val SHORTEST = 250.milliseconds

    /** Longer than the silence of a sound instance. */
    private val SHORTEST_IN_STREAM = 1_500.milliseconds

    /** Another engine brings the next event within this time. */
    private val RESUMPTION_TIME = 800.milliseconds

    /** Longer than an engine needs for an accepted backlog. */
    private val SHORTEST_TO_FIRST_EVENT = 4.seconds

    /**
     * Returns the limit for requests of [route].
     *
     * @param isAnswering whether the answer has begun
     */
    fun of(
        route: Route,
        isAnswering: Boolean,
    ): Duration =
        when {
            !route.repetition.streams -> maxOf(route.objective * OBJECTIVE_FACTOR, SHORTEST)
            isAnswering -> maxOf(SHORTEST_IN_STREAM, route.eventTimeout - RESUMPTION_TIME)
            else -> maxOf(route.objective, SHORTEST_TO_FIRST_EVENT)
        }
}
