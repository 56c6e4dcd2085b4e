package plantainturn.request.claim.internal

import kotlinx.serialization.json.Json
import plantainturn.connection.log.AppendFate
import plantainturn.connection.log.GroupedAppender
import plantainturn.process.time.TimerService
import plantainturn.request.claim.ClaimEntry
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** Appends entries that must not be lost, and retries until the log has accepted them. */
internal class RetryingAppender(
    private val appender: GroupedAppender,
    private val timer: TimerService,
    private val retryPause: Duration,
) {
    private val unwritten = AtomicInteger()

    /** The number of entries that the log has not accepted yet. */
    val unwrittenEntries: Int
        get() = unwritten.get()

    /** Appends [entry], with an unlimited number of retries. */
    fun append(entry: ClaimEntry) {
        unwritten.incrementAndGet()
        write(entry)
    }

    private fun write(entry: ClaimEntry) {
        val element = Json.encodeToJsonElement(ClaimEntry.serializer(), entry)
        appender.submit(element).thenAccept { fate -> onFate(entry, fate) }
    }

    private fun onFate(
        entry: ClaimEntry,
        fate: AppendFate,
    ) {
        if (fate is AppendFate.Stands) {
            unwritten.decrementAndGet()
        } else {
            timer.schedule(retryPause) { write(entry) }
        }
    }
}
