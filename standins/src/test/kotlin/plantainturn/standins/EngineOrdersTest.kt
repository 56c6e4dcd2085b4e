package plantainturn.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.engine.EngineRole
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.HttpModelEngine
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.engine.OrderResult
import plantainturn.connection.engine.ResidentState
import plantainturn.version.configuration.ModelName
import kotlin.test.assertEquals
import kotlin.test.assertIs

@Timeout(30)
class EngineOrdersTest {
    private val started = mutableListOf<AutoCloseable>()
    private lateinit var control: StandInClient
    private lateinit var engine: HttpModelEngine

    @AfterEach
    fun stop() = started.forEach(AutoCloseable::close)

    @Test
    fun `a load is reported as loading and then as ready`() {
        start()
        assertEquals(OrderResult.Accepted, order(1, 1, load("clerk", 600)))
        awaitApplied(1)
        val report = assertIs<EngineReportResult.Reported>(engine.report()).report
        assertEquals(listOf(ResidentState.READY), report.residents.map { it.state })
        assertEquals(listOf(OrderIdentifier(FenceNumber(1), 1)), report.appliedOrders.toList())
        assertEquals(FenceNumber(1), report.highestFence)
    }

    @Test
    fun `an order that arrives twice takes effect once`() {
        start()
        repeat(2) { assertEquals(OrderResult.Accepted, order(1, 1, load("clerk", 600))) }
        awaitApplied(1)
        assertEquals(1, truth().moves)
    }

    @Test
    fun `an old fence is refused or ignored as the engine is set`() {
        start(EngineStandInSettings(refusesOldFences = true))
        order(7, 1, EngineAction.Barrier)
        assertEquals(OrderResult.StaleFence(FenceNumber(7)), order(6, 1, load("clerk", 600)))
        assertEquals(0, truth().moves)
        start(EngineStandInSettings(refusesOldFences = false))
        order(7, 1, EngineAction.Barrier)
        assertEquals(OrderResult.Accepted, order(6, 1, load("clerk", 600)))
        assertEquals(1, truth().moves)
    }

    @Test
    fun `an order that arrives after a barrier is refused`() {
        start(EngineStandInSettings(refusesOldFences = true))
        control.switch(EngineFaults.serializer(), EngineFaults(orderDelayMilliseconds = 200))
        order(6, 1, load("clerk", 600))
        control.switch(EngineFaults.serializer(), EngineFaults())
        order(7, 1, EngineAction.Barrier)
        val truth = awaitApplied(2)
        assertEquals(listOf(OrderIdentifier(FenceNumber(6), 1)), truth.ordersFailed)
        assertEquals(0, truth.moves)
    }

    @Test
    fun `lost, unanswered and late orders are unknown to the sender`() {
        start()
        control.switch(EngineFaults.serializer(), EngineFaults(loseOrders = 1))
        assertIs<OrderResult.Unknown>(order(1, 1, load("a", 1)))
        assertEquals(0, truth().moves)
        control.switch(EngineFaults.serializer(), EngineFaults(loseOrderAnswers = 1))
        assertIs<OrderResult.Unknown>(order(1, 2, load("b", 1)))
        assertEquals(1, truth().moves)
        control.switch(EngineFaults.serializer(), EngineFaults(lateOrders = 1, lateMilliseconds = 100))
        assertIs<OrderResult.Unknown>(order(1, 3, load("c", 1)))
        assertEquals(listOf("b", "c"), awaitApplied(2).residents.map { it.name.value })
    }

    @Test
    fun `a load beyond the memory is counted as an overcommit`() {
        start(EngineStandInSettings(memoryMegabytes = 1_000, cacheReserveMegabytes = 200))
        order(1, 1, load("a", 800))
        assertEquals(0, truth().overcommits)
        order(1, 2, load("b", 1))
        assertEquals(1, truth().overcommits)
        assertEquals(801, truth().mostMegabytes)
    }

    @Test
    fun `an adapter needs its base model and leaves with it`() {
        start()
        val adapter = EngineAction.LoadAdapter(ModelName("refunds"), ModelName("clerk"), "1", 10)
        order(1, 1, adapter)
        assertEquals(listOf(OrderIdentifier(FenceNumber(1), 1)), awaitApplied(1).ordersFailed)
        order(1, 2, load("clerk", 600))
        awaitApplied(2)
        order(1, 3, adapter)
        assertEquals(2, awaitApplied(3).residents.size)
        order(1, 4, EngineAction.Unload(ModelName("clerk")))
        assertEquals(0, awaitApplied(4).residents.size)
        order(1, 5, EngineAction.ChangeRole(EngineRole.DECODE))
        assertEquals(5, awaitApplied(5).ordersApplied.size)
    }

    @Test
    fun `another version takes its own memory until the old one has left`() {
        start(EngineStandInSettings(memoryMegabytes = 1_000, modelLoadMilliseconds = 10))
        order(1, 1, load("clerk", 600))
        awaitApplied(1)
        order(1, 2, EngineAction.LoadModel(ModelName("clerk"), "2", 600))
        val truth = awaitApplied(2)
        assertEquals(listOf("2"), truth.residents.map { it.weightsVersion })
        assertEquals(1, truth.overcommits)
    }

    @Test
    fun `loads take the time that the weight store gives`() {
        val store =
            WeightStoreStandIn(WeightStoreStandInSettings(modelLoadMilliseconds = 20))
                .also(started::add)
        val storeControl = StandInClient(store.start())
        start(EngineStandInSettings(weightStoreAddress = storeControl.address))
        order(1, 1, load("a", 1))
        order(1, 2, load("b", 1))
        awaitApplied(2)
        val truth = storeControl.truth(WeightStoreTruth.serializer())
        assertEquals(2, truth.modelLoads)
        assertEquals(1, truth.beyondLimits)
    }

    private fun start(settings: EngineStandInSettings = EngineStandInSettings()) {
        val fast =
            settings.copy(
                reportLagMilliseconds = 0,
                modelLoadMilliseconds = settings.modelLoadMilliseconds.coerceAtMost(20),
            )
        val standIn = EngineStandIn(fast).also(started::add)
        control = StandInClient(standIn.start())
        engine = HttpModelEngine(StandInClient.CLIENT, control.address)
    }

    private fun order(
        fence: Long,
        sequence: Long,
        action: EngineAction,
    ) = engine.order(EngineOrder(OrderIdentifier(FenceNumber(fence), sequence), action))

    private fun load(
        name: String,
        megabytes: Long,
    ) = EngineAction.LoadModel(ModelName(name), "1", megabytes)

    private fun truth() = control.truth(EngineTruth.serializer())

    private fun awaitApplied(count: Int) =
        control.awaitTruth(EngineTruth.serializer()) { it.ordersApplied.size == count }
}
