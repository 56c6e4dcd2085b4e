package plantainturn.process.control.lease

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.Test
import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.OrderIdentifier
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.log.StreamName
import plantainturn.process.control.DriftingTimer
import plantainturn.process.control.NodeLog
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaseKeeperTest {
    private val settings = LeaseSettings()
    private val timer = VirtualTimerService()
    private val log = FakeLogService()
    private val stream = StreamName.control("s")
    private val candidates = mutableListOf<Candidate>()

    private inner class Candidate(
        name: String,
        rate: Double = 1.0,
        rank: Int = 0,
    ) {
        val nodeLog = NodeLog(log, timer)
        val keeper =
            LeaseKeeper(nodeLog, "s", HolderIdentifier(name), DriftingTimer(timer, rate), settings) { rank }
        var runs = true

        init {
            candidates += this
        }

        val fence: FenceNumber?
            get() = keeper.lease?.fence

        fun permitsOnIgnoring(): Boolean = keeper.lease?.let { keeper.permits(it.fence, false) } ?: false

        fun permitsOnRefusing(): Boolean = keeper.lease?.let { keeper.permits(it.fence, true) } ?: false
    }

    private fun run(duration: Duration) = runUntil(duration) { false }

    private fun runUntil(
        limit: Duration,
        done: () -> Boolean,
    ) {
        val end = timer.now() + limit
        while (timer.now() < end && !done()) {
            timer.advance(50.milliseconds)
            candidates.filter { it.runs }.forEach { it.keeper.step() }
        }
    }

    @Test
    fun `only one of two racing candidates is granted the lease`() {
        val first = Candidate("a")
        val second = Candidate("b")
        run(20.seconds)
        assertEquals(1, listOf(first, second).count { it.fence != null })
    }

    @Test
    fun `a delayed claim is ignored if the holder has renewed in the meantime`() {
        val holder = Candidate("a")
        run(10.seconds)
        val fence = holder.fence
        holder.nodeLog.disconnected = true
        val rival = Candidate("b")
        rival.nodeLog.appendDelay = { 3.seconds }
        run(settings.term + settings.driftMargin + 1.seconds)
        holder.nodeLog.disconnected = false
        run(1.seconds)
        assertTrue(holder.permitsOnIgnoring())
        run(3.seconds)
        assertEquals(fence, holder.fence)
        assertNull(rival.fence)
    }

    @Test
    fun `the holder counts its term from when it sent the renewal`() {
        val holder = Candidate("a")
        run(10.seconds)
        var sentAt = Moment.ORIGIN
        holder.nodeLog.appendDelay = {
            sentAt = timer.now()
            3.seconds
        }
        runUntil(5.seconds) { sentAt != Moment.ORIGIN }
        holder.nodeLog.appendDelay = { 60.seconds }
        run(sentAt + settings.term - timer.now() - 100.milliseconds)
        assertTrue(holder.permitsOnIgnoring())
        run(200.milliseconds)
        assertFalse(holder.permitsOnIgnoring())
    }

    @Test
    fun `a candidate whose clock runs fast waits until the holder has stopped`() {
        val holder = Candidate("a", rate = 0.95)
        run(12.seconds)
        val rival = Candidate("b", rate = 1.05)
        run(3.seconds)
        holder.nodeLog.disconnected = true
        runUntil(30.seconds) { rival.fence != null }
        assertNotNull(rival.fence)
        assertFalse(holder.permitsOnIgnoring())
    }

    @Test
    fun `a holder without a connection to the log continues only where old fences are refused`() {
        val holder = Candidate("a")
        run(10.seconds)
        holder.nodeLog.disconnected = true
        run(settings.term + settings.renewalPeriod)
        assertFalse(holder.permitsOnIgnoring())
        assertTrue(holder.permitsOnRefusing())
        holder.nodeLog.disconnected = false
        run(settings.renewalPeriod)
        assertTrue(holder.permitsOnIgnoring())
    }

    @Test
    fun `a paused holder learns of its successor at its next step`() {
        val holder = Candidate("a")
        run(10.seconds)
        val rival = Candidate("b")
        holder.runs = false
        run(20.seconds)
        assertFalse(holder.permitsOnIgnoring())
        holder.keeper.step()
        assertNull(holder.fence)
        assertNotNull(rival.fence)
    }

    @Test
    fun `a released lease is taken over immediately and an abandoned one after its term`() {
        val holder = Candidate("a")
        run(10.seconds)
        val rival = Candidate("b")
        holder.keeper.release()
        run(100.milliseconds)
        assertNotNull(rival.fence)
        rival.runs = false
        val third = Candidate("c")
        run(settings.term)
        assertNull(third.fence)
        run(settings.driftMargin + 100.milliseconds)
        assertNotNull(third.fence)
    }

    @Test
    fun `a claim whose answer is lost takes effect when it is read back`() {
        val holder = Candidate("a")
        log.answersToLose = 1
        run(10.seconds)
        assertNotNull(holder.fence)
    }

    @Test
    fun `a lost claim is sent again under the same identifier`() {
        val holder = Candidate("a")
        log.appendsToLose = 1
        run(10.seconds)
        assertEquals(
            RecordIdentifier("a/0"),
            log
                .records(stream)
                .first()
                .record.identifier,
        )
        assertNotNull(holder.fence)
    }

    @Test
    fun `an announcement succeeds only if it was read back under the lease`() {
        val holder = Candidate("a")
        run(10.seconds)
        val held = checkNotNull(holder.keeper.lease)
        val order = EngineOrder(OrderIdentifier(held.fence, 1), EngineAction.Unload(ModelName("m")))
        val intended = IntendedOrder(UpstreamName("u"), order)
        log.appendsToLose = 1
        assertFalse(holder.keeper.announce(held, listOf(intended)))
        assertTrue(holder.keeper.announce(held, listOf(intended)))
        holder.runs = false
        Candidate("b")
        run(20.seconds)
        val later = intended.copy(order = order.copy(identifier = OrderIdentifier(held.fence, 2)))
        assertFalse(holder.keeper.announce(held, listOf(later)))
    }

    @Test
    fun `an unknown higher fence blocks orders until the log has been read`() {
        val holder = Candidate("a")
        run(10.seconds)
        holder.keeper.observeFence(FenceNumber(1_000_000))
        assertFalse(holder.permitsOnRefusing())
        holder.keeper.step()
        assertTrue(holder.permitsOnRefusing())
        holder.keeper.observeFence(FenceNumber(1_000_000))
        assertTrue(holder.permitsOnRefusing())
    }

    @Test
    fun `a new node starts at a snapshot if older records have expired`() {
        val holder = Candidate("a")
        run(60.seconds)
        log.expireBefore(
            stream,
            log
                .records(stream)
                .dropLast(3)
                .last()
                .offset,
        )
        val late = Candidate("b")
        run(1.seconds)
        assertEquals(ControlStatus.GAP, late.keeper.status)
        run((settings.renewalPeriod * settings.snapshotRecords))
        assertEquals(ControlStatus.FOLLOWING, late.keeper.status)
        assertEquals(holder.keeper.state, late.keeper.state)
        assertNotNull(holder.fence)
    }

    @Test
    fun `a stream whose old records expired is claimed under a higher fence that old followers accept`() {
        val old = Candidate("a")
        run(10.seconds)
        val fence = checkNotNull(old.fence)
        old.runs = false
        log.expireBefore(
            stream,
            log
                .records(stream)
                .last()
                .offset
                .next(),
        )
        val fresh = Candidate("b")
        run(settings.term)
        assertNull(fresh.fence)
        run(settings.term * 2)
        assertTrue(checkNotNull(fresh.fence) > fence)
        old.keeper.step()
        assertNull(old.fence)
        assertEquals(fresh.keeper.state, old.keeper.state)
    }

    @Test
    fun `a node stops at a record of an unknown rule version`() {
        val holder = Candidate("a")
        run(10.seconds)
        val position = log.records(stream).size
        log.append(stream, LogRecord(RecordIdentifier("x"), """{"rule":2,"entry":{}}"""))
        run(20.seconds)
        assertEquals(ControlStatus.UNKNOWN_RULE, holder.keeper.status)
        assertEquals(position + 1, log.records(stream).size)
        assertFalse(holder.permitsOnIgnoring())
    }

    @Property(seed = "4201", tries = 60, shrinking = ShrinkingMode.OFF)
    fun `fences increase and no two holders share one`(
        @ForAll seed: Long,
    ) = LeaseKeeperTest().checkFences(Random(seed))

    private fun checkFences(random: Random) {
        val holders = mutableMapOf<FenceNumber, Candidate>()
        var highest = FenceNumber.NONE
        repeat(3) { Candidate("n$it") }
        repeat(60) { round ->
            injectFault(random, round)
            run(random.nextLong(2_000).milliseconds)
            for (candidate in candidates) {
                val fence = candidate.fence ?: continue
                assertEquals(candidate, holders.getOrPut(fence) { candidate })
            }
            val newest = holders.keys.maxOrNull() ?: FenceNumber.NONE
            assertTrue(newest >= highest)
            highest = newest
            assertTrue(candidates.count { it.permitsOnIgnoring() } <= 1)
        }
    }

    private fun injectFault(
        random: Random,
        round: Int,
    ) {
        val one = candidates.random(random)
        when (random.nextInt(8)) {
            0 -> one.nodeLog.disconnected = !one.nodeLog.disconnected
            1 -> one.runs = !one.runs
            2 -> one.nodeLog.appendDelay = { random.nextLong(15_000).milliseconds.takeIf { random.nextBoolean() } }
            3 -> one.nodeLog.appendDelay = { null }
            4 -> log.answersToLose = 1
            5 -> candidates.remove(one).also { Candidate("later-$round") }
        }
    }
}
