package plantainturn.connection.log

import org.apache.logging.log4j.LogManager
import plantainturn.connection.log.internal.SnapshotAssembler
import plantainturn.connection.log.internal.SnapshotSearch
import plantainturn.connection.log.internal.SnapshotText
import kotlin.time.Duration

/**
 * Folds one stream, from wherever its exact records can be had.
 *
 * Each call of [step] reads one page and folds it. The caller decides when, on which thread and from which
 * [RecordSource]; several threads may step at once with different sources, because only the next record in order is
 * ever folded. The follower never skips: at a gap it looks for a snapshot that covers the gap, and without one it stays
 * where it is. A record of unknown rules stops it for good.
 *
 * @param stream the stream's name, for logs
 * @param fold the rules of the stream
 * @param kept keeps the records for peers, or null
 * @param listener learns what is folded
 */
public class StreamFollower<S, V>(
    private val stream: StreamName,
    private val fold: StreamFold<S, V>,
    private val kept: PeerRecordStore? = null,
    private val listener: FollowListener<S, V> = FollowListener { _, _, _ -> },
) {
    private val logger = LogManager.getLogger(StreamFollower::class.java)
    private val lock = Any()
    private val assembler = SnapshotAssembler()
    private var reachedEnd = false

    /** How far the stream is folded, or null until there is a start. */
    @Volatile
    public var position: StreamPosition<S>? = null
        private set

    /** The newest complete snapshot met so far, or null. */
    @Volatile
    public var newestSnapshot: SnapshotMark? = null
        private set

    /** The length of all entries' payloads folded so far. */
    @Volatile
    public var foldedCharacters: Long = 0
        private set

    /** Why the follower goes no further, or null. */
    @Volatile
    public var stopped: FollowResult.Stopped? = null
        private set

    /** Reads the next records from [source], waiting up to [wait] for them, and folds them. */
    public fun step(
        source: RecordSource,
        wait: Duration,
    ): FollowResult {
        stopped?.let { return it }
        val from = position?.next ?: LogOffset.FIRST
        return when (val read = source.read(from, PAGE_RECORDS, wait)) {
            is ReadResult.Records -> synchronized(lock) { foldPage(read, from) }
            is ReadResult.Expired -> search(source, read.oldest, from)
            is ReadResult.Unavailable -> FollowResult.Unavailable(read.reason)
        }
    }

    /** Returns the parts of a snapshot of the current position, or none if there is no position. */
    public fun snapshot(
        identifier: String,
        partCharacters: Int,
    ): List<SnapshotPart> {
        val now = position ?: return emptyList()
        val texts = SnapshotText.encode(fold, now).chunked(partCharacters)
        return texts.mapIndexed { index, text -> SnapshotPart(identifier, now.next, index, texts.size, text) }
    }

    private fun foldPage(
        page: ReadResult.Records,
        from: LogOffset,
    ): FollowResult {
        if (page.end < from) return FollowResult.Behind(page.end)
        val before = position ?: StreamPosition(LogOffset.FIRST, fold.initial)
        val verdicts = mutableListOf<V>()
        var now = before
        var problem: FollowResult? = null
        for (stored in page.records.dropWhile { it.offset < before.next }) {
            val content = RecordCodec.decode(stored.record.payload, fold.rule)
            problem = obstacle(stored, content, now)
            if (problem != null) break
            now = foldRecord(stored, content, now, verdicts)
        }
        publish(now, verdicts, now.next >= page.end)
        return problem ?: FollowResult.Followed(now.next, page.end)
    }

    private fun obstacle(
        stored: StoredRecord,
        content: RecordContent,
        now: StreamPosition<S>,
    ): FollowResult? =
        when {
            stored.offset > now.next -> inconsistent("record ${stored.offset} came instead of ${now.next}")
            content is RecordContent.UnknownRule -> stop(stored.offset, content.rule)
            else -> null
        }

    private fun foldRecord(
        stored: StoredRecord,
        content: RecordContent,
        now: StreamPosition<S>,
        verdicts: MutableList<V>,
    ): StreamPosition<S> {
        kept?.add(stored)
        when (content) {
            is RecordContent.Entries -> return foldEntries(stored, content, now, verdicts)
            is RecordContent.Snapshot -> note(content.part, stored.offset)
            else -> logIgnored(stored, content)
        }
        return now.copy(next = stored.offset.next())
    }

    private fun foldEntries(
        stored: StoredRecord,
        content: RecordContent.Entries,
        now: StreamPosition<S>,
        verdicts: MutableList<V>,
    ): StreamPosition<S> {
        val next = stored.offset.next()
        val identifier = stored.record.identifier
        if (identifier in now.recent) return now.copy(next = next)
        foldedCharacters += stored.record.payload.length
        val result = fold.apply(now.state, stored.offset, content.entries)
        verdicts += result.verdicts
        return StreamPosition(next, result.state, now.recent + identifier)
    }

    private fun note(
        part: SnapshotPart,
        offset: LogOffset,
    ) {
        if (assembler.add(part) == null) return
        val known = newestSnapshot
        if (known != null && known.covers > part.covers) return
        newestSnapshot = SnapshotMark(part.covers, offset)
        kept?.startAt(part.covers)
    }

    private fun search(
        source: RecordSource,
        oldest: LogOffset,
        from: LogOffset,
    ): FollowResult {
        val found =
            when (val result = SnapshotSearch(source, fold, PAGE_RECORDS).run(oldest)) {
                is SnapshotSearch.Result.Found -> result.position
                is SnapshotSearch.Result.None -> return withoutSnapshot(result.result)
            }
        return synchronized(lock) { adopt(found, from) }
    }

    private fun withoutSnapshot(result: FollowResult): FollowResult {
        if (result is FollowResult.Stopped) stop(result.offset, result.rule)
        if (result is FollowResult.SnapshotMissing) {
            logger.error("Stream {}: records before {} are gone and no snapshot covers them", stream, result.oldest)
        }
        return result
    }

    private fun adopt(
        found: StreamPosition<S>,
        from: LogOffset,
    ): FollowResult {
        val now = position
        if (now != null && now.next > from) return FollowResult.Followed(now.next, now.next)
        if (now != null && now.next >= found.next) return inconsistent("a snapshot covers ${found.next}, gone is $from")
        kept?.clear(found.next)
        publish(found, emptyList(), false)
        return FollowResult.Adopted(found.next)
    }

    private fun publish(
        now: StreamPosition<S>,
        verdicts: List<V>,
        caughtUp: Boolean,
    ) {
        val news = now != position || (caughtUp && !reachedEnd)
        reachedEnd = reachedEnd || caughtUp
        position = now
        if (news) listener.onFolded(now, verdicts, caughtUp)
    }

    private fun stop(
        offset: LogOffset,
        rule: Int,
    ): FollowResult.Stopped {
        logger.fatal("Stream {}: record {} follows unknown rules {}; update this program", stream, offset, rule)
        return FollowResult.Stopped(offset, rule).also { stopped = it }
    }

    private fun inconsistent(problem: String): FollowResult {
        logger.error("Stream {}: {}", stream, problem)
        return FollowResult.Inconsistent(problem)
    }

    private fun logIgnored(
        stored: StoredRecord,
        content: RecordContent,
    ) {
        logger.error("Stream {}: record {} is ignored: {}", stream, stored.offset, content)
    }

    private companion object {
        const val PAGE_RECORDS = 128
    }
}
