package plantainturn.request.claim

import org.junit.jupiter.api.Test
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.StreamName
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

class LogClaimServiceTest {
    private val log = FakeLogService()
    private val stream = StreamName.claims("0-of-1")
    private val key = claimKey("order-1")
    private val first = ClaimNode(log, "a")
    private val second = ClaimNode(log, "b")

    @Test
    fun `a key is granted to one node and in progress at another`() {
        assertIs<ClaimResult.Granted>(first.claim(key))
        assertEquals(ClaimResult.InProgress, second.claim(key))
    }

    @Test
    fun `a key is answered from its outcome at another node after the run`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        first.service.settle(granted.claim, answered())
        first.service.step()
        assertEquals(ClaimResult.Settled(answered()), second.claim(key))
    }

    @Test
    fun `the node that ran a key answers from its outcome while the log is down`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        log.unavailable = true
        first.service.settle(granted.claim, answered())
        assertEquals(ClaimResult.Settled(answered()), first.claim(key))
    }

    @Test
    fun `a key is refused for another content`() {
        first.claim(key)
        assertEquals(ClaimResult.Reused, second.claim(key, "other content"))
    }

    @Test
    fun `two nodes that claim at once are ordered by the log`() {
        val one = first.service.claimLater(key, "content")
        val two = second.service.claimLater(key, "content")
        assertEquals(ClaimResult.InProgress, second.also { first.decided(one) }.decided(two))
        assertIs<ClaimResult.Granted>(one.join())
    }

    @Test
    fun `a key that was released before dispatch is granted again`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        first.service.release(granted.claim)
        first.service.step()
        assertIs<ClaimResult.Granted>(second.claim(key))
    }

    @Test
    fun `a key is unknown at another node after its claimant's death`() {
        assertIs<ClaimResult.Granted>(first.claim(key))
        assertEquals(ClaimResult.InProgress, second.claim(key))
        second.service.step()
        second.timer.advance(61.seconds)
        second.service.step()
        second.service.step()
        assertEquals(ClaimResult.Settled(ClaimOutcome.Unknown), second.claim(key))
    }

    @Test
    fun `the outcome of a claimant that was thought dead replaces unknown`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        second.claim(key)
        second.service.step()
        second.timer.advance(61.seconds)
        second.service.step()
        second.service.step()
        first.service.settle(granted.claim, answered())
        first.service.step()
        second.service.step()
        assertEquals(ClaimResult.Settled(answered()), second.claim(key))
    }

    @Test
    fun `a claim is refused at once while the log is down`() {
        log.unavailable = true
        first.service.step()
        assertIs<ClaimResult.Unavailable>(first.service.claimLater(key, "content").getNow(null))
        log.unavailable = false
        first.service.step()
        assertIs<ClaimResult.Granted>(first.claim(key))
    }

    @Test
    fun `a claim whose answer was lost is granted once`() {
        log.answersToLose = 1
        assertIs<ClaimResult.Granted>(first.claim(key))
        assertEquals(1, log.records(stream).size)
        assertEquals(ClaimResult.InProgress, second.claim(key))
    }
}
