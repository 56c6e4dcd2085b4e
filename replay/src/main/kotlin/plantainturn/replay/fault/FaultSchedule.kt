package plantainturn.replay.fault

import plantainturn.replay.FaultSelection
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.UpstreamKind
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Draws the faults of a replay. Losses of upstreams keep apart by some minutes of an hour, so that the floor of two
 * copies can be restored in between; the outage of the log overlaps one of them.
 *
 * @property lostOrderShare the share of orders that never arrive
 * @property lostAnswerShare the share of service calls whose answer is lost after they ran
 */
internal class FaultSchedule private constructor(
    val faults: List<Fault>,
    val lostOrderShare: Double,
    val lostAnswerShare: Double,
) {
    companion object {
        fun draw(
            selection: FaultSelection,
            configuration: Configuration,
            duration: Duration,
            random: Random,
        ): FaultSchedule {
            val faults =
                when (selection) {
                    FaultSelection.NONE -> emptyList()
                    FaultSelection.UPSTREAM -> upstreams(configuration, duration, random)
                    FaultSelection.DOMAIN -> listOf(domain(configuration, duration, random))
                    FaultSelection.LOG -> listOf(log(duration))
                    FaultSelection.ALL ->
                        upstreams(configuration, duration, random) + domain(configuration, duration, random) +
                            log(duration)
                }
            val all = selection == FaultSelection.ALL
            return FaultSchedule(
                faults = faults,
                lostOrderShare = if (all) LOST_ORDER_SHARE else 0.0,
                lostAnswerShare = if (selection == FaultSelection.NONE) 0.0 else LOST_ANSWER_SHARE,
            )
        }

        private fun upstreams(
            configuration: Configuration,
            duration: Duration,
            random: Random,
        ): List<Fault> {
            val engines =
                configuration.upstreams
                    .filterValues { it.kind == UpstreamKind.ENGINE }
                    .keys
                    .sorted()
            return CRASHES.map { share ->
                Fault.Upstream(engines.random(random), at(share, duration, random), CRASH_LENGTH)
            }
        }

        private fun domain(
            configuration: Configuration,
            duration: Duration,
            random: Random,
        ): Fault {
            val domains =
                configuration.upstreams.values
                    .map { it.failureDomain }
                    .distinct()
                    .sorted()
            return Fault.Domain(domains.random(random), at(DOMAIN_LOSS, duration, random), duration * DOMAIN_LENGTH)
        }

        private fun log(duration: Duration): Fault = Fault.Log(duration * LOG_OUTAGE, duration * LOG_LENGTH)

        private fun at(
            share: Double,
            duration: Duration,
            random: Random,
        ): Duration = duration * (share + random.nextDouble(SPREAD))

        private val CRASHES = listOf(0.08, 0.65, 0.85)
        private val CRASH_LENGTH = 30.seconds
        private const val DOMAIN_LOSS = 0.3
        private const val DOMAIN_LENGTH = 0.1
        private const val LOG_OUTAGE = 0.58
        private const val LOG_LENGTH = 0.17
        private const val SPREAD = 0.05
        private const val LOST_ORDER_SHARE = 0.02
        private const val LOST_ANSWER_SHARE = 0.005
    }
}
