package plantainturn.process.control.ledger

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.engine.OrderResult
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.process.control.lease.IntendedOrder
import plantainturn.process.time.Moment
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import plantainturn.version.placement.PlacementState
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class MemoryLedgerTest {
    private val upstream = UpstreamName("u")
    private val fence = FenceNumber(7)
    private val orderDelayBound = 5.seconds

    private fun specification(refusesOldFences: Boolean = true) =
        UpstreamSpecification(
            address = "http://127.0.0.1:1",
            failureDomain = FailureDomain("d"),
            kind = UpstreamKind.ENGINE,
            memoryMegabytes = 120,
            cacheReserveMegabytes = 20,
            refusesOldFences = refusesOldFences,
        )

    private fun opened(
        inherited: List<IntendedOrder> = emptyList(),
        refusesOldFences: Boolean = true,
    ): MemoryLedger =
        MemoryLedger(fence, orderDelayBound).also {
            it.open(upstream, specification(refusesOldFences), at(0), inherited)
        }

    private fun at(seconds: Int): Moment = Moment.ORIGIN + seconds.seconds

    private fun load(
        name: String,
        megabytes: Long,
    ) = EngineAction.LoadModel(ModelName(name), "1", megabytes)

    private fun resident(
        name: String,
        megabytes: Long,
    ) = Resident(ModelName(name), "1", megabytes, ResidentState.READY)

    private fun MemoryLedger.show(
        second: Int,
        vararg residents: Resident,
        applied: List<OrderIdentifier> = emptyList(),
        incarnation: String = "i",
    ) {
        val report =
            EngineReport(
                incarnation = incarnation,
                sequence = second.toLong(),
                ageMilliseconds = 0,
                highestFence = fence,
                appliedOrders = applied.toPersistentList(),
                residents = residents.toList().toPersistentList(),
            )
        report(upstream, TimestampedReport(report, at(second)))
    }

    private fun MemoryLedger.issue(
        action: EngineAction,
        second: Int,
        result: OrderResult = OrderResult.Accepted,
    ): OrderIdentifier {
        val reserved = assertIs<ReservationResult.Reserved>(reserve(upstream, action))
        assertTrue(beginSend(upstream, reserved.order.identifier))
        endSend(upstream, reserved.order.identifier, result, at(second))
        return reserved.order.identifier
    }

    private val MemoryLedger.free: Long
        get() = checkNotNull(get(upstream)).freeMegabytes

    private fun MemoryLedger.placement(name: String): PlacementState? =
        checkNotNull(get(upstream)).placements()[ModelName(name)]

    @Test
    fun `no order is issued before a report with the current fence`() {
        val ledger = opened()
        assertEquals(
            ReservationResult.Refused(ReservationRefusal.NOT_ESTABLISHED),
            ledger.reserve(upstream, load("a", 10)),
        )
    }

    @Test
    fun `a load reserves memory before it is sent and residents loaded by others count`() {
        val ledger = opened()
        ledger.show(1, resident("foreign", 30))
        ledger.reserve(upstream, load("a", 60))
        assertEquals(10, ledger.free)
        assertEquals(ReservationResult.Refused(ReservationRefusal.NO_MEMORY), ledger.reserve(upstream, load("b", 20)))
    }

    @Test
    fun `a report that may predate the effect of an order frees nothing`() {
        val ledger = opened()
        ledger.show(4)
        ledger.issue(load("a", 60), second = 3)
        ledger.show(5)
        assertEquals(40, ledger.free)
    }

    @Test
    fun `an unload frees its memory when a report shows it`() {
        val ledger = opened()
        ledger.show(1, resident("a", 60))
        val unload = ledger.issue(EngineAction.Unload(ModelName("a")), second = 1)
        assertEquals(PlacementState.UNLOADING, ledger.placement("a"))
        assertEquals(40, ledger.free)
        ledger.show(2, applied = listOf(unload))
        assertEquals(100, ledger.free)
    }

    @Test
    fun `a load that may take effect again after a restart keeps its memory when its model is unloaded`() {
        val ledger = opened()
        ledger.show(1)
        val load = ledger.issue(load("a", 60), second = 1)
        ledger.show(2, resident("a", 60), applied = listOf(load))
        val unload = ledger.issue(EngineAction.Unload(ModelName("a")), second = 2)
        ledger.show(3, applied = listOf(load, unload))
        assertEquals(ReservationResult.Refused(ReservationRefusal.NO_MEMORY), ledger.reserve(upstream, load("b", 60)))
        ledger.show(8)
        assertIs<ReservationResult.Reserved>(ledger.reserve(upstream, load("b", 60)))
    }

    @Test
    fun `an ended order is in doubt again after the engine restarts`() {
        val ledger = opened()
        ledger.show(1)
        val load = ledger.issue(load("a", 60), second = 1)
        ledger.show(2, resident("a", 60), applied = listOf(load))
        ledger.show(3, incarnation = "j")
        assertEquals(PlacementState.IN_DOUBT, ledger.placement("a"))
        assertEquals(40, ledger.free)
        ledger.show(7, incarnation = "j")
        assertEquals(100, ledger.free)
    }

    @Test
    fun `a refused order stays reserved because an earlier copy of it may still take effect`() {
        val ledger = opened()
        ledger.show(1)
        val load = ledger.issue(load("a", 60), second = 1, result = OrderResult.Unknown("lost"))
        assertTrue(ledger.beginSend(upstream, load))
        ledger.endSend(upstream, load, OrderResult.Refused("busy"), at(2))
        ledger.show(6)
        assertEquals(40, ledger.free)
        ledger.show(8)
        assertEquals(100, ledger.free)
    }

    @Test
    fun `a call in progress keeps its memory however long it takes`() {
        val ledger = opened()
        ledger.show(1)
        val reserved = assertIs<ReservationResult.Reserved>(ledger.reserve(upstream, load("a", 60)))
        ledger.beginSend(upstream, reserved.order.identifier)
        ledger.show(100)
        assertEquals(40, ledger.free)
        ledger.endSend(upstream, reserved.order.identifier, OrderResult.Unknown("timeout"), at(101))
        ledger.show(102)
        assertEquals(40, ledger.free)
    }

    @Test
    fun `announced orders of an earlier lease stay in doubt until a report from after the delay bound`() {
        val earlier = FenceNumber(3)
        val inherited =
            listOf(
                IntendedOrder(upstream, EngineOrder(OrderIdentifier(earlier, 1), load("a", 60))),
                IntendedOrder(upstream, EngineOrder(OrderIdentifier(earlier, 2), EngineAction.Unload(ModelName("b")))),
            )
        val ledger = opened(inherited, refusesOldFences = false)
        ledger.show(1, resident("b", 30))
        assertEquals(10, ledger.free)
        assertEquals(PlacementState.IN_DOUBT, ledger.placement("a"))
        assertEquals(PlacementState.IN_DOUBT, ledger.placement("b"))
        ledger.show(5, resident("b", 30))
        assertEquals(10, ledger.free)
        ledger.show(6, resident("b", 30))
        assertEquals(70, ledger.free)
        assertEquals(PlacementState.READY, ledger.placement("b"))
    }

    @Test
    fun `a report taken before the ledger was opened does not establish it`() {
        val ledger = opened(refusesOldFences = false)
        val stale = EngineReport("i", 1, 0, FenceNumber.NONE, persistentListOf())
        ledger.report(upstream, TimestampedReport(stale, at(0) - 1.seconds))
        assertFalse(checkNotNull(ledger.get(upstream)).established)
    }

    @Property(seed = "4401", tries = 500, shrinking = ShrinkingMode.OFF)
    fun `free memory agrees with a reference model that keeps the whole history`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val ledger = opened()
        val reference = ReferenceModel(capacity = 100, boundSeconds = 5)
        var incarnation = 0
        for (second in 1..60) {
            if (random.nextInt(10) == 0) incarnation++
            val residents = listOf(resident("x", 10), resident("y", 20)).filter { random.nextBoolean() }
            val applied = reference.sent.map { it.identifier }.filter { random.nextInt(3) == 0 }
            ledger.show(second, *residents.toTypedArray(), applied = applied, incarnation = "i$incarnation")
            reference.show(second, residents, applied, "i$incarnation")
            assertEquals(reference.free(), ledger.free)
            val name = "m${random.nextInt(4)}"
            val wanted = load(name, 10L + random.nextInt(40))
            if (ledger.reserve(upstream, wanted) is ReservationResult.Reserved) {
                val order = checkNotNull(ledger.get(upstream)).orders.values.single { it.phase == OrderPhase.RESERVED }
                ledger.beginSend(upstream, order.order.identifier)
                ledger.endSend(upstream, order.order.identifier, OrderResult.Accepted, at(second))
                reference.sent += ReferenceModel.Sent(order.order.identifier, name, wanted.memoryMegabytes, second)
            }
            assertEquals(reference.free(), ledger.free)
        }
    }

    /** Keeps all sent orders and reports and computes the worst case from them on each call. */
    private class ReferenceModel(
        private val capacity: Long,
        private val boundSeconds: Int,
    ) {
        class Sent(
            val identifier: OrderIdentifier,
            val name: String,
            val megabytes: Long,
            val second: Int,
        )

        private class ShownReport(
            val second: Int,
            val residents: List<Resident>,
            val applied: List<OrderIdentifier>,
            val incarnation: String,
        )

        val sent = mutableListOf<Sent>()
        private val reports = mutableListOf<ShownReport>()

        fun show(
            second: Int,
            residents: List<Resident>,
            applied: List<OrderIdentifier>,
            incarnation: String,
        ) {
            reports += ShownReport(second, residents, applied, incarnation)
        }

        fun free(): Long {
            val last = reports.last()
            val arriving = sent.filter { last.second <= it.second + boundSeconds }
            val pending = arriving.filterNot(::isEnded)
            val now = last.residents.sumOf { it.memoryMegabytes } + worstCase(pending)
            return (capacity - maxOf(now, worstCase(arriving))).coerceAtLeast(0)
        }

        private fun isEnded(order: Sent): Boolean {
            val current = reports.last().incarnation
            return reports.any {
                it.incarnation == current && it.second > order.second && order.identifier in it.applied
            }
        }

        private fun worstCase(orders: List<Sent>): Long =
            orders.groupBy { it.name }.values.sumOf { same -> same.maxOf { it.megabytes } }
    }
}
