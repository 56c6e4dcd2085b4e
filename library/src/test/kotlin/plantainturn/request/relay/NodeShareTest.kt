package plantainturn.request.relay

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class NodeShareTest {
    private val share = NodeShare(NodeShareTerms(window = 10.seconds, term = 6.seconds))

    @Test
    fun `a fraction lapses if it is not confirmed and is reported until the window has passed`() {
        share.confirm(0.1, sentAt = at(20), now = at(21))

        assertEquals(0.1, share.fractionAt(at(25)))
        assertEquals(0.0, share.fractionAt(at(26)), "the term starts when the report was sent")
        assertEquals(0.1, share.maximumWithinWindow(at(36)))
        assertEquals(0.0, share.maximumWithinWindow(at(37)))
    }

    @Test
    fun `a larger fraction that was used before is reported until the window has passed`() {
        for (second in 20..24) share.confirm(0.2, at(second), at(second))
        for (second in 25..40) share.confirm(0.05, at(second), at(second))

        assertEquals(0.05, share.fractionAt(at(40)))
        assertEquals(0.2, share.maximumWithinWindow(at(35)))
        assertEquals(0.05, share.maximumWithinWindow(at(36)))
    }

    @Test
    fun `a lapsed fraction is still reported after a smaller one was confirmed`() {
        share.confirm(0.2, at(20), at(20))
        share.confirm(0.05, at(30), at(30))

        assertEquals(0.2, share.maximumWithinWindow(at(35)))
        assertEquals(0.05, share.maximumWithinWindow(at(37)))
    }

    private companion object {
        fun at(second: Int): Moment = Moment.ORIGIN + second.seconds
    }
}
