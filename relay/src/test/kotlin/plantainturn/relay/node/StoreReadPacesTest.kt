package plantainturn.relay.node

import org.junit.jupiter.api.Test
import plantainturn.connection.roster.RosterTimes
import plantainturn.connection.store.ReadPace
import plantainturn.process.control.lease.StoreLeaseSettings
import plantainturn.relay.peer.ExchangeTiming
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Guards against calls to the store that grow with the number of nodes, and against paces that are too slow for the
 * bounds on news.
 *
 * Load pattern: instances renew their entries all the time, so that each read of them ends at once; the configuration
 * and crash evidence don't change, so that their reads last as long as they may.
 */
class StoreReadPacesTest {
    @Test
    fun `in calm a node makes less than half a call a second, at any number of nodes from 20 on`() {
        val bounds = mapOf(8 to 1.0, 20 to 0.5, 80 to 0.25, 300 to 0.2)
        for ((nodes, bound) in bounds) {
            for (drain in DRAINS) {
                val paces = StoreReadPaces(RosterTimes(drain))
                val renewals = perSecond(StoreLeaseSettings().renewalPeriod)
                val others = calls(paces, StoreReader.INFORMED, nodes) * (nodes - 1)
                val rate = (calls(paces, StoreReader.ISSUER, nodes) + renewals + others) / nodes
                assertTrue(rate < bound, "$nodes nodes, drain time $drain: $rate calls per node and second")
            }
        }
    }

    @Test
    fun `a node that no issuer informs makes less than two and a half calls a second`() {
        for (drain in DRAINS) {
            val rate = calls(StoreReadPaces(RosterTimes(drain)), StoreReader.ALONE, nodes = 1)
            assertTrue(rate < 2.5, "drain time $drain: $rate calls per second")
        }
    }

    @Test
    fun `nodes do not take an issuer for deaf whose reads of the instances last as long as they may`() {
        for (nodes in listOf(1, 8, 20, 50)) {
            for (drain in DRAINS) {
                val times = RosterTimes(drain)
                val pace = StoreReadPaces(times).instances(StoreReader.ISSUER, nodes)
                val age = pace.wait + pace.rest + ExchangeTiming.period(nodes)
                assertTrue(age < times.peerReadTimeout, "$nodes nodes, drain time $drain: $age")
            }
        }
    }

    @Test
    fun `an instance that left is dropped in time by a node that no issuer informs`() {
        for (drain in DRAINS) {
            val times = RosterTimes(drain)
            val pace = StoreReadPaces(times).instances(StoreReader.ALONE, nodes = 1)
            val latest = pace.rest + ANSWER_TIME + times.lapseGrace + times.sweepPeriod
            assertTrue(latest < drain - MAXIMUM_TRANSIT, "drain time $drain: $latest")
        }
    }

    @Test
    fun `a configuration is in force in time though a read heard nothing of it`() {
        val pace = StoreReadPaces(RosterTimes(2.seconds)).configuration(StoreReader.ALONE)
        assertTrue(pace.wait + pace.rest + ANSWER_TIME < CONFIGURATION_BOUND)
    }

    private fun calls(
        paces: StoreReadPaces,
        reader: StoreReader,
        nodes: Int,
    ): Double {
        val quiet = listOf(paces.configuration(reader), paces.crashEvidence(reader)).map { it.wait + it.rest }
        return quiet.sumOf(::perSecond) + perSecond(busyPeriod(paces.instances(reader, nodes)))
    }

    private fun busyPeriod(pace: ReadPace): Duration = pace.rest

    private fun perSecond(period: Duration): Double = 1.0 / period.toDouble(DurationUnit.SECONDS)

    private companion object {
        val DRAINS = listOf(2.seconds, 3.seconds)
        val ANSWER_TIME = 100.milliseconds

        /** The longest time in which a request that was sent before reaches the instance. */
        val MAXIMUM_TRANSIT = 300.milliseconds
        val CONFIGURATION_BOUND = 3.seconds
    }
}
