package plantainturn.connection.log

import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class FollowLoopTest {
    private val stream = StreamName("words")
    private val log = FakeLogService()
    private val timer = VirtualTimerService()
    private val follower = StreamFollower(stream, WordFold)
    private var asked = 0
    private val peer =
        RecordSource { _, _, _ ->
            asked++
            ReadResult.Unavailable("nothing kept")
        }
    private val loop =
        FollowLoop(follower, LogRecordSource(log, stream), AdvancingPause(timer)) { listOf(peer) }

    @Test
    fun `peers are asked while an outage leaves no start`() {
        log.unavailable = true
        loop.step(Duration.ZERO)
        assertEquals(1, asked)
        assertFalse(loop.logAvailable)
    }

    @Test
    fun `peers are not asked in an outage after a start`() {
        loop.step(Duration.ZERO)
        log.unavailable = true
        loop.step(Duration.ZERO)
        assertEquals(0, asked)
    }

    @Test
    fun `peers are asked when needed records are gone`() {
        loop.step(Duration.ZERO)
        repeat(2) { log.append(stream, WordFold.record("$it", "word")) }
        log.expireBefore(stream, LogOffset(1))
        loop.step(Duration.ZERO)
        assertEquals(1, asked)
    }

    @Test
    fun `pauses grow with failures up to a limit and begin anew after a success`() {
        log.unavailable = true
        val pauses = List(6) { pauseOfStep() }
        assertEquals(listOf(200, 400, 800, 1600, 3200, 3200).map { it.milliseconds }, pauses)
        log.unavailable = false
        assertEquals(Duration.ZERO, pauseOfStep())
        assertTrue(loop.logAvailable)
        log.unavailable = true
        assertEquals(200.milliseconds, pauseOfStep())
    }

    private fun pauseOfStep(): Duration {
        val before = timer.now()
        loop.step(Duration.ZERO)
        return timer.now() - before
    }
}
