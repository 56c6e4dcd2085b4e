package plantainturn.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.connection.log.AppendResult
import plantainturn.connection.log.HttpLogService
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.log.StreamName
import java.util.concurrent.CompletableFuture
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(30)
class HttpLogServiceTest {
    private val standIn = LogStandIn(LogStandInSettings(retentionRecords = 3))
    private val control = StandInClient(standIn.start())
    private val log = HttpLogService(StandInClient.CLIENT, control.address, 500.milliseconds)

    @AfterEach
    fun stop() = standIn.close()

    @Test
    fun `records come back in order with their offsets`() {
        assertEquals(AppendResult.Appended(LogOffset(0)), append("a"))
        assertEquals(AppendResult.Appended(LogOffset(1)), append("b"))
        val read = assertIs<ReadResult.Records>(read(0))
        assertEquals(listOf("a", "b"), read.records.map { it.record.identifier.value })
        assertEquals(LogOffset(2), read.end)
        assertEquals(ReadResult.Records(read.records.removeAt(0), read.end), read(1))
    }

    @Test
    fun `a read waits for the next record`() {
        val read = CompletableFuture.supplyAsync { read(0, 20.seconds) }
        control.awaitTruth(LogTruth.serializer()) { it.reads == 1L }
        append("a")
        assertEquals(1, assertIs<ReadResult.Records>(read.get()).records.size)
    }

    @Test
    fun `a read without a new record ends after its wait`() {
        assertEquals(0, assertIs<ReadResult.Records>(read(0, 50.milliseconds)).records.size)
    }

    @Test
    fun `records that are no longer kept are expired`() {
        repeat(5) { append("$it") }
        assertEquals(ReadResult.Expired(LogOffset(2)), read(0))
        assertEquals(3, assertIs<ReadResult.Records>(read(2)).records.size)
    }

    @Test
    fun `an append whose answer is lost is unknown and stands in the stream`() {
        control.switch(LogFaults.serializer(), LogFaults(loseAnswers = 1))
        assertIs<AppendResult.Unknown>(append("a"))
        assertEquals(1, assertIs<ReadResult.Records>(read(0)).records.size)
    }

    @Test
    fun `a late append is unknown and stands in the stream later`() {
        control.switch(LogFaults.serializer(), LogFaults(lateAppends = 1, lateMilliseconds = 100))
        assertIs<AppendResult.Unknown>(append("a"))
        assertEquals(1, assertIs<ReadResult.Records>(read(0, 20.seconds)).records.size)
    }

    @Test
    fun `a refusing service promises that nothing was appended`() {
        control.switch(LogFaults.serializer(), LogFaults(outage = OutageMode.REFUSING))
        assertIs<AppendResult.Refused>(append("a"))
        assertIs<ReadResult.Unavailable>(read(0))
        assertTrue(
            control
                .truth(LogTruth.serializer())
                .streams.values
                .all { it.end == 0L },
        )
    }

    @Test
    fun `breaking and silent services leave the fate of an append unknown`() {
        for (mode in listOf(OutageMode.BREAKING, OutageMode.SILENT)) {
            control.switch(LogFaults.serializer(), LogFaults(outage = mode))
            assertIs<AppendResult.Unknown>(append("a"))
            assertIs<ReadResult.Unavailable>(read(0))
        }
        control.switch(LogFaults.serializer(), LogFaults())
        assertEquals(0, assertIs<ReadResult.Records>(read(0)).records.size)
    }

    @Test
    fun `faults of one stream leave the others alone`() {
        val faults = LogFaults(outage = OutageMode.REFUSING, onlyStreams = listOf("control.all"))
        control.switch(LogFaults.serializer(), faults)
        assertIs<AppendResult.Appended>(append("a"))
    }

    @Test
    fun `an append to an address on which nothing listens did not happen`() {
        val unreachable = HttpLogService(StandInClient.CLIENT, closedAddress())
        assertIs<AppendResult.Refused>(unreachable.append(STREAM, record("a")))
    }

    private fun append(identifier: String) = log.append(STREAM, record(identifier))

    private fun record(identifier: String) = LogRecord(RecordIdentifier(identifier), "{}")

    private fun read(
        from: Long,
        wait: Duration = Duration.ZERO,
    ) = log.read(STREAM, LogOffset(from), 100, wait)

    private companion object {
        val STREAM = StreamName.CONFIGURATION
    }
}
