package plantainturn.connection.log

import kotlin.random.Random
import kotlin.time.Duration

/**
 * A log between whose callers and [inner] messages are lost, late, doubled and answered by old answers.
 *
 * It keeps every record that was ever appended, for the judgement of a test.
 */
class FaultyLogService(
    private val inner: FakeLogService,
    private val random: Random,
    private val faultRate: Double,
) : LogService {
    private val late = mutableListOf<Pair<StreamName, LogRecord>>()
    private val answers = mutableListOf<Triple<StreamName, LogOffset, ReadResult>>()

    /** Every record ever appended, in order. */
    val history = mutableListOf<LogRecord>()

    /** Whether faults happen. */
    var faulty: Boolean = true

    override fun append(
        stream: StreamName,
        record: LogRecord,
    ): AppendResult {
        if (!faulty || random.nextDouble() > faultRate) return put(stream, record)
        when (random.nextInt(4)) {
            0 -> Unit
            1 -> late += stream to record
            2 -> put(stream, record)
            else -> repeat(2) { put(stream, record) }
        }
        return AppendResult.Unknown("fault")
    }

    override fun read(
        stream: StreamName,
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult {
        val answer = inner.read(stream, from, limit, wait)
        if (!faulty || random.nextDouble() > faultRate) return answer.also { remember(stream, from, it) }
        val old = answers.filter { it.first == stream && it.second == from }
        if (old.isEmpty() || random.nextBoolean()) return ReadResult.Unavailable("fault")
        return old.random(random).third
    }

    /** Lets one of the late records arrive, if there is one. */
    fun deliverLate() {
        if (late.isEmpty()) return
        val (stream, record) = late.removeAt(random.nextInt(late.size))
        put(stream, record)
    }

    /** Lets all late records arrive. */
    fun deliverAll() {
        while (late.isNotEmpty()) deliverLate()
    }

    /** Drops a random number of the oldest records of [stream], at most those before [limit]. */
    fun expireSome(
        stream: StreamName,
        limit: LogOffset = LogOffset(Long.MAX_VALUE),
    ) {
        val records = inner.records(stream).filter { it.offset <= limit }
        if (records.isEmpty()) return
        inner.expireBefore(stream, records.random(random).offset)
    }

    private fun put(
        stream: StreamName,
        record: LogRecord,
    ): AppendResult {
        val result = inner.append(stream, record)
        if (result is AppendResult.Appended) history += record
        return result
    }

    private fun remember(
        stream: StreamName,
        from: LogOffset,
        answer: ReadResult,
    ) {
        if (answer !is ReadResult.Records) return
        answers += Triple(stream, from, answer)
        if (answers.size > 50) answers.removeAt(0)
    }
}
