package plantainturn.process.control.residence

import org.junit.jupiter.api.Test
import plantainturn.connection.engine.FenceNumber
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class UnansweredOrdersTest {
    private val orders = UnansweredOrders(delayBound = 13.seconds)

    @Test
    fun `an order is remembered until its bound has passed`() {
        orders.onSent(order("a"), at(0))

        assertEquals(listOf(ModelName("a")), models(at(12)))
        assertEquals(emptyList(), models(at(13)))
    }

    @Test
    fun `an answer ends the doubt about its own order, not about an equal one before`() {
        val first = order("a")
        val second = order("a")
        orders.onSent(first, at(0))
        orders.onSent(second, at(1))
        orders.onAnswered(second)

        assertEquals(listOf(at(13)), orders.all(at(2)).map { it.expiresAt })
    }

    @Test
    fun `a report replaces only what the same session has reported`() {
        orders.onReport("first", listOf(reported("a")))
        orders.onReport("second", listOf(reported("b")))
        orders.onReport("second", listOf(reported("c")))

        assertEquals(setOf(ModelName("a"), ModelName("c")), models(at(1)).toSet())
        assertEquals(emptyList(), models(at(14)))
    }

    @Test
    fun `an order is remembered once if the next issuer reports it too`() {
        orders.onReport("first", listOf(reported("a")))
        orders.onReport("second", listOf(reported("a")))

        assertEquals(1, models(at(1)).size)
    }

    @Test
    fun `only orders to the same engine are returned`() {
        orders.onSent(order("a"), at(0))

        assertEquals(emptyList(), orders.at(UpstreamName("other"), at(1)))
    }

    private fun models(now: Moment) = orders.at(ENGINE, now).map { it.action.model }

    private companion object {
        val ENGINE = UpstreamName("engine")

        fun at(seconds: Int): Moment = Moment.ORIGIN + seconds.seconds

        fun load(model: String) = ResidenceAction(ResidenceAction.Kind.LOAD, ModelName(model))

        fun order(model: String) = SequencedOrder(ENGINE, load(model), expectedSequence = 4, FenceNumber(7))

        fun reported(model: String) = UnansweredOrder(ENGINE, load(model), expectedSequence = 4, at(13))
    }
}
