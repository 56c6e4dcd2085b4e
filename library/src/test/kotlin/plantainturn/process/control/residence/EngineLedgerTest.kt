package plantainturn.process.control.residence

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import plantainturn.connection.engine.FenceNumber
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.route.EngineFleet
import plantainturn.version.route.ServedModel
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineLedgerTest {
    private val unanswered = UnansweredOrders()
    private val ledger = ledger()
    private val fleet = fleet("a", "b", "c")
    private val fence = FenceNumber(7)

    @Test
    fun `no order is prepared before the first reading`() {
        assertNull(ledger.prepare(load("a"), fleet, fence, at(0)))
    }

    @Test
    fun `an order expects the sequence that the engine reported`() {
        ledger.onReading(reading(sequence = 4), at(0))

        assertEquals(4, ledger.prepare(load("a"), fleet, fence, at(1))?.expectedSequence)
    }

    @Test
    fun `a model that does not fit beside the resident ones is not loaded`() {
        ledger.onReading(reading(sequence = 4, "a", "b"), at(0))

        assertNull(ledger.prepare(load("c"), fleet, fence, at(1)))
    }

    @Test
    fun `an engine that executes an order of an earlier holder gets no order for a base model`() {
        ledger.onReading(reading(sequence = 4, "a", busy = true), at(0))

        assertTrue(ledger.isBusyWithUnknownOrder)
        assertNull(ledger.prepare(load("b"), fleet, fence, at(1)))
    }

    @Test
    fun `an engine that has finished an order of an earlier holder gets the next one`() {
        ledger.onReading(reading(sequence = 4, "a", busy = true), at(0))
        ledger.onReading(reading(sequence = 4, "a"), at(500))

        assertFalse(ledger.isBusyWithUnknownOrder)
        assertNotNull(ledger.prepare(load("b"), fleet, fence, at(501)))
    }

    @Test
    fun `a reading that predates the last order changes nothing`() {
        ledger.onReading(reading(sequence = 4), at(0))
        accept(load("a"), at(10))
        ledger.onReading(reading(sequence = 4), at(20))

        assertEquals(5, ledger.sequence)
        assertEquals(ModelName("a"), ledger.loading)
    }

    @Test
    fun `the order after an unanswered one expects the same sequence`() {
        ledger.onReading(reading(sequence = 4), at(0))
        answer(load("a"), SequencedOrderResult.Unknown("time-out"), at(10))
        assertNull(ledger.prepare(load("b"), fleet, fence, at(20)), "a new reading is needed first")
        ledger.onReading(reading(sequence = 4), at(30))

        assertEquals(4, ledger.prepare(load("b"), fleet, fence, at(40))?.expectedSequence)
    }

    @Test
    fun `an unanswered load stays reserved after a restart until it can no longer take effect`() {
        ledger.onReading(reading(sequence = 4), at(0))
        answer(load("a"), SequencedOrderResult.Unknown("time-out"), at(10))
        ledger.onRestart()
        ledger.onReading(reading(sequence = 0, "b", startedAt = 2), at(1_100))

        assertNull(ledger.prepare(load("c"), fleet, fence, at(1_200)), "a, b and c don't fit together")
        assertNull(ledger.prepare(load("c"), fleet, fence, at(10) + DELAY_BOUND))
        assertNotNull(ledger.prepare(load("c"), fleet, fence, at(10) + DELAY_BOUND + 1.seconds))
    }

    /** Guards against a ledger that forgets with the entry of its engine what the engine may still execute. */
    @Test
    fun `an unanswered load stays reserved for the next ledger of its engine`() {
        ledger.onReading(reading(sequence = 1), at(0))
        answer(load("a"), SequencedOrderResult.Unknown("time-out"), at(10))
        val next = ledger()
        next.onReading(reading(sequence = 0, "b", startedAt = 2), at(5_000))

        assertNull(next.prepare(load("c"), fleet, fence, at(5_010)))
        assertNotNull(next.prepare(load("c"), fleet, fence, at(10) + DELAY_BOUND + 1.seconds))
    }

    /** Guards against an order that is forgotten once another one was accepted in its place. */
    @Test
    fun `an unanswered load stays reserved after a restart if the engine accepted another order before`() {
        ledger.onReading(reading(sequence = 1), at(0))
        answer(load("a"), SequencedOrderResult.Unknown("time-out"), at(10))
        ledger.onReading(reading(sequence = 1), at(20))
        accept(load("b"), at(30))
        ledger.onReading(reading(sequence = 2, "b"), at(500))
        ledger.onRestart()
        ledger.onReading(reading(sequence = 0, "b", startedAt = 2), at(1_100))

        assertNull(ledger.prepare(load("c"), fleet, fence, at(1_200)))
    }

    @Test
    fun `a late order of a session that has ended is not in doubt once it is answered`() {
        ledger.onReading(reading(sequence = 1), at(0))
        val order = assertNotNull(ledger.prepare(load("a"), fleet, fence, at(10)))
        val next = ledger()
        next.onReading(reading(sequence = 0, "b", startedAt = 2), at(20))
        assertNull(next.prepare(load("c"), fleet, fence, at(30)))
        ledger.onResult(order, SequencedOrderResult.OutOfStep, at(10))

        assertNotNull(next.prepare(load("c"), fleet, fence, at(40)))
    }

    @Test
    fun `an order in place of an unanswered one needs no room beside it`() {
        ledger.onReading(reading(sequence = 1), at(0))
        answer(load("a"), SequencedOrderResult.Unknown("time-out"), at(10))
        ledger.onRestart()
        ledger.onReading(reading(sequence = 1, "b", startedAt = 2), at(1_100))

        assertNotNull(ledger.prepare(load("c"), fleet, fence, at(1_200)))
    }

    /** Guards against more adapters than places after the load of an adapter was executed late. */
    @Test
    fun `an unanswered load of an adapter keeps its place after a restart`() {
        ledger.onReading(reading(sequence = 2, "a"), at(0))
        answer(load("a", "x"), SequencedOrderResult.Unknown("time-out"), at(10))
        ledger.onRestart()
        ledger.onReading(reading(sequence = 0, "a", startedAt = 2), at(1_000))
        accept(load("a", "y"), at(1_100))

        assertFalse(ledger.hasAdapterPlace(fleet, at(1_200)))
        assertNull(ledger.prepare(load("a", "z"), fleet, fence, at(1_200)), "x and z don't fit beside y")
        assertNotNull(ledger.prepare(load("a", "z"), fleet, fence, at(10) + DELAY_BOUND + 1.seconds))
    }

    @Test
    fun `unanswered orders for several sequences all keep their room`() {
        ledger.onReading(reading(sequence = 1, "c"), at(0))
        answer(load("c", "x"), SequencedOrderResult.Unknown("time-out"), at(10))
        ledger.onReading(reading(sequence = 2, "c"), at(20))
        answer(load("c", "y"), SequencedOrderResult.Unknown("time-out"), at(30))
        ledger.onRestart()
        ledger.onReading(reading(sequence = 0, "c", startedAt = 2), at(1_000))

        assertNull(ledger.prepare(load("c", "z"), fleet, fence, at(1_100)), "x, y and z have two places")
        assertNotNull(ledger.prepare(load("a"), fleet, fence, at(1_100)))
    }

    @Test
    fun `of several unanswered orders for the same sequence only the largest keeps its room`() {
        ledger.onReading(reading(sequence = 4, "c"), at(0))
        answer(load("c", "x"), SequencedOrderResult.Unknown("time-out"), at(10))
        ledger.onReading(reading(sequence = 4, "c"), at(20))
        answer(load("c", "y"), SequencedOrderResult.Unknown("time-out"), at(30))
        ledger.onRestart()
        ledger.onReading(reading(sequence = 0, "c", startedAt = 2), at(1_000))

        assertNotNull(ledger.prepare(load("c", "z"), fleet, fence, at(1_100)))
    }

    @Test
    fun `an unload is sent to an engine that holds too much`() {
        ledger.onReading(reading(sequence = 4, "a", "b", "c"), at(0))

        assertNotNull(ledger.prepare(unload("a"), fleet, fence, at(1)))
    }

    @Test
    fun `an adapter needs its resident base model and a free place`() {
        ledger.onReading(reading(sequence = 4, "a"), at(0))

        assertNull(ledger.prepare(load("b", "x"), fleet, fence, at(1)))
        accept(load("a", "x"), at(2))
        accept(load("a", "y"), at(3))
        assertNull(ledger.prepare(load("a", "z"), fleet, fence, at(4)), "both places are taken")
        accept(unload("a", "x"), at(5))
        assertNotNull(ledger.prepare(load("a", "z"), fleet, fence, at(6)))
    }

    private fun ledger() = EngineLedger(UpstreamName("engine"), unanswered)

    private fun accept(
        action: ResidenceAction,
        now: Moment,
    ) = answer(action, SequencedOrderResult.Accepted, now)

    private fun answer(
        action: ResidenceAction,
        result: SequencedOrderResult,
        now: Moment,
    ) {
        val order = assertNotNull(ledger.prepare(action, fleet, fence, now))
        ledger.onResult(order, result, now)
    }

    private companion object {
        val DELAY_BOUND = SequencedOrder.MAXIMUM_EXECUTION_DELAY

        fun at(milliseconds: Int): Moment = Moment.ORIGIN + milliseconds.milliseconds

        fun load(
            model: String,
            adapter: String? = null,
        ) = ResidenceAction(ResidenceAction.Kind.LOAD, ModelName(model), adapter?.let(::ModelName))

        fun unload(
            model: String,
            adapter: String? = null,
        ) = ResidenceAction(ResidenceAction.Kind.UNLOAD, ModelName(model), adapter?.let(::ModelName))

        fun reading(
            sequence: Long,
            vararg models: String,
            busy: Boolean = false,
            startedAt: Long = 1,
        ) = EngineReading(
            startedAt = startedAt,
            sequence = sequence,
            busy = busy,
            residents =
                models.fold(persistentMapOf()) { all, model ->
                    all.put(ModelName(model), persistentSetOf())
                },
            arrivingAdapters = persistentMapOf(),
            hostCopies = persistentSetOf(),
            diskCopies = persistentSetOf(),
        )

        /** Returns a fleet whose engines have room for two of [models], 70 MB each, and two adapters. */
        fun fleet(vararg models: String) =
            EngineFleet(
                concurrency = 4,
                cacheTokens = 1_000,
                weightMegabytes = 150.0,
                adapterSlots = 2,
                storeLoadsPerSecond = 1.0,
                models =
                    models.fold(persistentMapOf()) { all, model ->
                        val name = ModelName(model)
                        all.put(name, ServedModel(name, 70.0, 5.seconds, 1.seconds, Duration.ZERO, 3, 1.0))
                    },
            )
    }
}
