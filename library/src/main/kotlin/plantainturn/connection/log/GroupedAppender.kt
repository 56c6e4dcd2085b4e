package plantainturn.connection.log

import kotlinx.serialization.json.JsonElement
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue

/**
 * Appends entries of many threads, as many in one record as are waiting.
 *
 * While one record is on its way the next entries gather, so that the number of appends stays low under load and an
 * entry waits for at most one append before its own.
 *
 * @param rule the number of the stream's rules
 * @param position an offset at or before the end of the stream
 * @param waitingLimit the number of entries that may wait
 */
public class GroupedAppender(
    private val appender: RecordAppender,
    private val rule: Int,
    private val position: () -> LogOffset,
    waitingLimit: Int = DEFAULT_WAITING_LIMIT,
) {
    private val waiting = LinkedBlockingQueue<Waiting>(waitingLimit)

    /**
     * Queues [entry] and returns its fate to come. It is refused at once if too many wait.
     *
     * Cancelling the fate drops an entry that is still waiting; one that is on its way may come to stand all the same.
     */
    public fun submit(entry: JsonElement): CompletableFuture<AppendFate> {
        val item = Waiting(entry, CompletableFuture())
        if (!waiting.offer(item)) item.fate.complete(AppendFate.Refused("too many entries wait"))
        return item.fate
    }

    /** Appends what waits now, as one record. Returns the number of entries. */
    public fun step(): Int {
        val group = mutableListOf<Waiting>()
        waiting.drainTo(group, GROUP_ENTRIES)
        append(group)
        return group.size
    }

    /** Returns a thread, not yet started, that appends until it is closed. */
    public fun thread(name: String): LoopThread =
        LoopThread(name) {
            val group = mutableListOf(waiting.take())
            waiting.drainTo(group, GROUP_ENTRIES - 1)
            append(group)
        }

    private fun append(group: List<Waiting>) {
        val wanted = group.filterNot { it.fate.isDone }
        if (wanted.isEmpty()) return
        val payload = RecordCodec.encodeEntries(rule, wanted.map { it.entry })
        val fate = appender.append(payload, position())
        wanted.forEach { it.fate.complete(fate) }
    }

    private class Waiting(
        val entry: JsonElement,
        val fate: CompletableFuture<AppendFate>,
    )

    private companion object {
        const val GROUP_ENTRIES = 128
        const val DEFAULT_WAITING_LIMIT = 4096
    }
}
