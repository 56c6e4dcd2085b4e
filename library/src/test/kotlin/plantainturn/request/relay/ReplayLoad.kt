package plantainturn.request.relay

import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A load of the replays: servers whose speed differs or changes, and requests.
 *
 * @property perSecond requests of all nodes per second
 * @property sharedShare share of the engines' requests whose prompt has a part that others share
 * @property subjects number of parts that requests share; the first ones are asked for far more often
 * @property servers creates the servers, as a replay changes them
 */
internal class ReplayLoad(
    val perSecond: Double,
    val sharedShare: Double = 0.7,
    val subjects: Int = 60,
    val servers: () -> List<ReplayServer>,
) {
    companion object {
        private val SPEEDS = listOf(0.55, 0.68, 0.81, 0.94, 1.07, 1.2)
        private const val EVEN_SPEED = 1.0
        private const val SERVICE_SLOTS = 8
        private const val ENGINE_SLOTS = 32
        private const val SLOWEST = 0
        private const val FASTEST = 5

        /** Loads of plain services, by name. */
        val SERVICES: Map<String, ReplayLoad> = uneven(perSecond = 1_200.0, isEngine = false)

        /** Loads of engines, by name. */
        val ENGINES: Map<String, ReplayLoad> = uneven(perSecond = 100.0, isEngine = true)

        /** Loads of engines of equal speed, for the share of the busiest. */
        val EVEN_ENGINES: Map<String, ReplayLoad> =
            mapOf(
                "nothing shared" to even(perSecond = 10.0, sharedShare = 0.0, subjects = 1),
                "nothing shared, busier" to even(perSecond = 30.0, sharedShare = 0.0, subjects = 1),
                "two subjects" to even(perSecond = 10.0, sharedShare = 0.7, subjects = 2),
                "twelve subjects" to even(perSecond = 10.0, sharedShare = 0.7, subjects = 12),
                "twelve subjects, busier" to even(perSecond = 30.0, sharedShare = 0.7, subjects = 12),
                "sixty subjects" to even(perSecond = 30.0, sharedShare = 0.7, subjects = 60),
                "sixty subjects, busy" to even(perSecond = 90.0, sharedShare = 0.7, subjects = 60),
            )

        private fun even(
            perSecond: Double,
            sharedShare: Double,
            subjects: Int,
        ) = ReplayLoad(perSecond, sharedShare, subjects) {
            SPEEDS.indices.map { ReplayServer(nameOf(it), EVEN_SPEED, ENGINE_SLOTS, isEngine = true) }
        }

        private fun uneven(
            perSecond: Double,
            isEngine: Boolean,
        ): Map<String, ReplayLoad> {
            fun load(server: (index: Int, speed: Double, slots: Int) -> ReplayServer) =
                ReplayLoad(perSecond) {
                    SPEEDS.mapIndexed {
                        index,
                        speed,
                        ->
                        server(index, speed, if (isEngine) ENGINE_SLOTS else SERVICE_SLOTS)
                    }
                }
            return mapOf(
                "speeds" to load { index, speed, slots -> ReplayServer(nameOf(index), speed, slots, isEngine) },
                "slows at half" to
                    load { index, speed, slots ->
                        ReplayServer(nameOf(index), speed, slots, isEngine, if (index <= 1) 0.5 else 1.0)
                    },
                "noise" to
                    load { index, speed, slots ->
                        ReplayServer(nameOf(index), speed, slots, isEngine, noise = noiseOf(index))
                    },
                "step" to
                    load { index, speed, slots ->
                        val step = { at: Duration -> if (index == FASTEST && at in 8.seconds..18.seconds) 3.0 else 1.0 }
                        ReplayServer(nameOf(index), speed, slots, isEngine, noise = step)
                    },
                "fast errors" to
                    load { index, speed, slots ->
                        val fails = { at: Duration ->
                            index == FASTEST && at in 5.seconds..20.seconds && at.inWholeMicroseconds % 5 < 2
                        }
                        ReplayServer(nameOf(index), speed, slots, isEngine, failsAt = fails)
                    },
                "freeze" to
                    load { index, speed, slots ->
                        val freeze = { at: Duration ->
                            if (index == SLOWEST &&
                                at in 8.seconds..9.seconds
                            ) {
                                50.0
                            } else {
                                1.0
                            }
                        }
                        ReplayServer(nameOf(index), speed, slots, isEngine, noise = freeze)
                    },
            )
        }

        /** Returns noise of 2.5 times for 600 ms of every 3 s, at other times on each server. */
        private fun noiseOf(index: Int): (Duration) -> Double =
            { at -> if ((at + 700.milliseconds * index).inWholeMilliseconds % 3_000 < 600) 2.5 else 1.0 }

        private fun nameOf(index: Int) = UpstreamName("server-$index")
    }
}
