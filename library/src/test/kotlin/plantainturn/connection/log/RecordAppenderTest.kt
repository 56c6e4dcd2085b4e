package plantainturn.connection.log

import org.junit.jupiter.api.Test
import plantainturn.process.time.VirtualTimerService
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RecordAppenderTest {
    private val stream = StreamName("words")
    private val log = FakeLogService()
    private val timer = VirtualTimerService()
    private val pause = AdvancingPause(timer)
    private val settings = AppendSettings(deadline = 1.seconds, retryPause = 100.milliseconds)
    private val appender = appenderOn(log)

    @Test
    fun `a record whose answer was lost is found and not sent again`() {
        log.answersToLose = 1
        val fate = appender.append("payload", LogOffset.FIRST)
        assertEquals(AppendFate.Stands(RecordIdentifier("a/1"), LogOffset(0)), fate)
        assertEquals(1, log.records(stream).size)
    }

    @Test
    fun `a record that was lost is sent again under the same identifier`() {
        log.appendsToLose = 2
        val fate = assertIs<AppendFate.Stands>(appender.append("payload", LogOffset.FIRST))
        assertEquals(
            fate.identifier,
            log
                .records(stream)
                .single()
                .record.identifier,
        )
    }

    @Test
    fun `a record is found behind others and beyond one page`() {
        var first = true
        log.beforeAppend = {
            if (first) {
                first = false
                repeat(600) { log.append(stream, WordFold.record("other $it", "x")) }
            }
        }
        log.answersToLose = Int.MAX_VALUE
        assertEquals(LogOffset(600), assertIs<AppendFate.Stands>(appender.append("p", LogOffset.FIRST)).offset)
    }

    @Test
    fun `an outage longer than the deadline leaves the fate unknown`() {
        log.unavailable = true
        assertIs<AppendFate.Unknown>(appender.append("payload", LogOffset.FIRST))
        assertEquals(1.seconds, timer.now() - plantainturn.process.time.Moment.ORIGIN)
    }

    @Test
    fun `an outage that ends before the deadline is overcome`() {
        log.unavailable = true
        pause.onPause = { log.unavailable = timer.now() < plantainturn.process.time.Moment.ORIGIN + 500.milliseconds }
        assertIs<AppendFate.Stands>(appender.append("payload", LogOffset.FIRST))
    }

    @Test
    fun `a refusal that follows a lost answer is not taken for the record's fate`() {
        val refusing =
            object : LogService {
                var appends = 0

                override fun append(
                    stream: StreamName,
                    record: LogRecord,
                ): AppendResult = if (appends++ == 0) AppendResult.Unknown("late") else AppendResult.Refused("full")

                override fun read(
                    stream: StreamName,
                    from: LogOffset,
                    limit: Int,
                    wait: Duration,
                ): ReadResult = log.read(stream, from, limit, wait)
            }
        assertIs<AppendFate.Unknown>(appenderOn(refusing).append("payload", LogOffset.FIRST))
    }

    private fun appenderOn(service: LogService): RecordAppender =
        RecordAppender(service, stream, RecordIdentifiers("a"), timer, pause, settings)
}
