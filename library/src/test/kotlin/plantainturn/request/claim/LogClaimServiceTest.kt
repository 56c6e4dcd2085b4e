package plantainturn.request.claim

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.RecordCodec
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.log.StreamName
import plantainturn.process.time.SystemTimerService
import java.util.concurrent.CompletableFuture
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
    fun `another node answers a key from its recorded outcome after the run`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        first.service.settle(granted.claim, answered())
        first.service.step()
        assertEquals(ClaimResult.Settled(answered()), second.claim(key))
    }

    @Test
    fun `the node that ran a key answers from its outcome while the log is unavailable`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        log.unavailable = true
        first.service.settle(granted.claim, answered())
        assertEquals(ClaimResult.Settled(answered()), first.claim(key))
    }

    @Test
    fun `a key is refused for different content`() {
        first.claim(key)
        assertEquals(ClaimResult.Reused, second.claim(key, "other content"))
    }

    @Test
    fun `concurrent claims of two nodes are ordered by the log`() {
        val one = first.service.claimAsync(key, "content")
        val two = second.service.claimAsync(key, "content")
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
    fun `a key is settled as unknown at another node after its claimant crashed`() {
        assertIs<ClaimResult.Granted>(first.claim(key))
        assertEquals(ClaimResult.InProgress, second.claim(key))
        second.service.step()
        second.timer.advance(61.seconds)
        second.service.step()
        second.service.step()
        assertEquals(ClaimResult.Settled(ClaimOutcome.Unknown), second.claim(key))
    }

    @Test
    fun `the outcome of a claimant that was presumed crashed replaces unknown`() {
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
    fun `a claim is refused immediately while the log is unavailable`() {
        log.unavailable = true
        first.service.step()
        assertIs<ClaimResult.Unavailable>(first.service.claimAsync(key, "content").getNow(null))
        log.unavailable = false
        first.service.step()
        assertIs<ClaimResult.Granted>(first.claim(key))
    }

    @Test
    fun `a claim whose append response was lost is granted once`() {
        log.answersToLose = 1
        assertIs<ClaimResult.Granted>(first.claim(key))
        assertEquals(1, log.records(stream).size)
        assertEquals(ClaimResult.InProgress, second.claim(key))
    }

    @Test
    fun `a claim that arrives after it was given up is not granted and does not block the key`() {
        log.appendsToLose = Int.MAX_VALUE
        val result = first.service.claimAsync(key, "content")
        assertIs<ClaimResult.Unavailable>(first.decided(result))
        log.appendsToLose = 0
        repeat(3) { first.service.step() }
        first.timer.advance(1.seconds)
        first.service.step()
        appendLate("a/0/claim/1")
        first.service.step()
        assertIs<ClaimResult.Granted>(second.claim(key))
    }

    @Test
    fun `a claim that arrives after it was given up is released by its claimant`() {
        log.appendsToLose = Int.MAX_VALUE
        assertIs<ClaimResult.Unavailable>(first.decided(first.service.claimAsync(key, "content")))
        log.appendsToLose = 0
        appendLate("a/0/claim/1")
        assertEquals(ClaimResult.InProgress, second.claim(key))
        repeat(2) { first.service.step() }
        first.timer.advance(1.seconds)
        first.service.step()
        second.service.step()
        assertIs<ClaimResult.Granted>(second.claim(key))
    }

    @Test
    fun `a claim that arrives after more releases than are remembered is released again`() {
        log.appendsToLose = Int.MAX_VALUE
        assertIs<ClaimResult.Unavailable>(first.decided(first.service.claimAsync(key, "content")))
        log.appendsToLose = 0
        repeat(2) { first.service.step() }
        first.timer.advance(1.seconds)
        repeat(2) { first.service.step() }
        append("releases", List(ClaimState.RELEASED_LIMIT) { ClaimEntry.Release(RecordIdentifier("c$it"), key) })
        appendLate("a/0/claim/1")
        repeat(2) { first.service.step() }
        assertIs<ClaimResult.Granted>(second.claim(key))
    }

    @Test
    fun `a claim that arrives after its node crashed is settled as unknown and never granted`() {
        appendLate("dead/0/claim/1")
        assertEquals(ClaimResult.InProgress, second.claim(key))
        second.service.step()
        second.timer.advance(61.seconds)
        repeat(2) { second.service.step() }
        assertEquals(ClaimResult.Settled(ClaimOutcome.Unknown), second.claim(key))
    }

    @Test
    fun `an outcome is written once the log is available again`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        log.unavailable = true
        first.service.settle(granted.claim, answered())
        first.service.step()
        assertEquals(1, first.service.unwrittenEntries)
        log.unavailable = false
        first.timer.advance(1.seconds)
        repeat(2) { first.service.step() }
        assertEquals(0, first.service.unwrittenEntries)
        assertEquals(ClaimResult.Settled(answered()), second.claim(key))
    }

    @Test
    fun `a body larger than the limit is not stored`() {
        val granted = assertIs<ClaimResult.Granted>(first.claim(key))
        first.service.settle(granted.claim, answered("x".repeat(30_000)))
        first.service.step()
        assertEquals(ClaimResult.Settled(answered("").copy(bodyTruncated = true)), second.claim(key))
    }

    @Test
    fun `concurrent claims are batched into one record`() {
        val results = List(50) { first.service.claimAsync(claimKey("order $it"), "content") }
        first.service.step()
        results.forEach { assertIs<ClaimResult.Granted>(it.join()) }
        assertEquals(1, log.records(stream).size)
    }

    @Test
    fun `a key is granted to one of many threads on two started nodes`() {
        SystemTimerService().use { timer ->
            val services = List(2) { LogClaimService(log, "started $it", timer) }
            services.forEach { it.start() }
            val calls = List(16) { index -> CompletableFuture.supplyAsync { claimWhenReady(services[index % 2]) } }
            assertEquals(1, calls.map { it.join() }.count { it is ClaimResult.Granted })
            services.forEach { it.close() }
        }
    }

    /** Retries the claim until the service has read its streams. */
    private fun claimWhenReady(service: LogClaimService): ClaimResult {
        var result = service.claim(key, "content")
        while (result is ClaimResult.Unavailable) result = service.claim(key, "content")
        return result
    }

    private fun appendLate(claim: String) {
        append("late", listOf(ClaimEntry.Request(RecordIdentifier(claim), key, "content")))
    }

    private fun append(
        record: String,
        entries: List<ClaimEntry>,
    ) {
        val elements = entries.map { Json.encodeToJsonElement(ClaimEntry.serializer(), it) }
        log.append(stream, LogRecord(RecordIdentifier(record), RecordCodec.encodeEntries(1, elements)))
    }
}
