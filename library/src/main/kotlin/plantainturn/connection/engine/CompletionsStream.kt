package plantainturn.connection.engine

import okhttp3.Call
import okio.BufferedSource
import plantainturn.connection.http.decodeText
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Reads the server-sent events of one answer and gives their tokens to [receiver]. */
internal class CompletionsStream(
    private val call: Call,
    private val silenceLimit: Duration,
    private val receiver: TokenReceiver,
) {
    /** Reads to the end of the answer. */
    fun read(source: BufferedSource): GenerationEnd {
        while (true) {
            val data = nextData(source) ?: return GenerationEnd.Broken("the stream ended before the answer")
            val event = decodeText<CompletionsEvent>(data) ?: return GenerationEnd.Broken("not an event of an answer")
            val reason = event.finishReason
            if (reason != null) {
                nextData(source)
                return GenerationEnd.Finished(event.position, reason)
            }
            if (!receiver.receive(event.toTokenChunk())) {
                call.cancel()
                return GenerationEnd.Stopped
            }
        }
    }

    /** Returns the data of the next event, or null at the end. The silence limit covers all that precedes it. */
    private fun nextData(source: BufferedSource): String? {
        source.timeout().deadline(silenceLimit.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        while (!source.exhausted()) {
            val line = source.readUtf8LineStrict(MAXIMUM_LINE_BYTES)
            if (line.startsWith(DATA_PREFIX)) return line.removePrefix(DATA_PREFIX).trim()
        }
        return null
    }

    private companion object {
        const val DATA_PREFIX = "data:"
        const val MAXIMUM_LINE_BYTES = 65_536L
    }
}
