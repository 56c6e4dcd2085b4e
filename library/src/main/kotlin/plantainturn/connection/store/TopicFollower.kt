package plantainturn.connection.store

import org.apache.logging.log4j.LogManager
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Follows one keyed topic with one outstanding long read, and starts anew from the newest records when it must.
 *
 * Peers that read the same topic spare it reads: what one has read [since] is [offered][offer] to the others. A long
 * read may hear nothing although there are records, so peers' hints of a later end are followed too. Readings that are
 * older than what is known are dropped. When the store has come back from a copy, shown by a later era of any answer or
 * hint, the topic is read anew as a whole. Confined to the thread of the node's event loop.
 *
 * While a peer hands on what it reads, failed reads are retried rarely, and the store counts as lost only if the peer
 * has heard nothing meanwhile either. A peer may also say for how long the store has not been lost to it; if that
 * covers the time for which this node has heard nothing, the store has refused only this node.
 *
 * @param hintPatience how long a hint of a later end may be known before the topic is read anew for it
 * @param retained how many records are kept for [since]
 * @param random varies the pauses after reads that failed
 * @param pace how long reads wait and rest, looked at again while a read rests
 */
public class TopicFollower(
    private val store: RecordStore,
    private val topic: TopicName,
    private val listener: TopicListener,
    private val timer: TimerService,
    private val hintPatience: Duration = HINT_PATIENCE,
    private val retained: Int = RECENT,
    random: Random = Random.Default,
    private val pace: () -> ReadPace,
) {
    private val logger = LogManager.getLogger(TopicFollower::class.java)
    private var known: StorePosition? = null
    private var expired = false
    private var catchingUp = false
    private var hintedAt: Moment? = null
    private var lostSince: Moment? = null
    private var failingSince: Moment? = null
    private var offeredAt = Moment.ORIGIN
    private var confirmedAt: Moment? = null
    private var steadySince: Moment? = null
    private val readBackoff = RetryBackoff(RETRY_PAUSE, random)
    private val catchUpBackoff = RetryBackoff(RETRY_PAUSE, random)
    private var catchUpFrom = Moment.ORIGIN
    private var retryDue: Moment? = null
    private var readNumber = 0L
    private var resting = false
    private val recent = ArrayDeque<KeyedRecord>()
    private var recentFrom: StorePosition? = null

    /** When the store last answered a read, null if it has not. */
    public var heardAt: Moment? = null
        private set

    /**
     * The latest moment as of which this node's own reads have shown all records of the topic, null before the first.
     *
     * It counts from when a read was sent: the answer may have waited long before a busy node handled it.
     */
    public var currentAt: Moment? = null
        private set

    /** Where the topic ended when it was last read; the first position before the first reading. */
    public val end: StorePosition
        get() = known ?: StorePosition.FIRST

    /** For how long the store has not been lost to this node or its peers, null if it is lost or never answered. */
    public val steadyFor: Duration?
        get() = if (lostSince == null) steadySince?.let { timer.now() - it } else null

    /** Returns the records from [from] on for a peer that has read up to there, null if too many have come since. */
    public fun since(from: StorePosition): RecordsSince? {
        val next = known ?: return null
        val first = recentFrom ?: return null
        if (from.era != next.era || from < first || from >= next) return null
        return RecordsSince(from, recent.filter { it.offset >= from.offset }, next)
    }

    /**
     * Takes over what a peer has read, if it follows what is known here.
     *
     * @param steadyFor for how long the store has not been lost to the peer, null if it does not say
     */
    public fun offer(
        offered: RecordsSince,
        steadyFor: Duration? = null,
    ) {
        val before = known ?: return
        val sameEra = offered.from.era == before.era && offered.next.era == before.era
        if (!sameEra || offered.from > before || offered.next <= before) return
        val now = timer.now()
        val heardUntil = maxOf(offeredAt, heardAt ?: offeredAt)
        if (steadyFor != null && now - steadyFor <= heardUntil) {
            refuteLoss()
        } else if (failingSince != null && now - offeredAt > LONGEST_OFFER_GAP) {
            // The peer heard nothing for a while either, so the store was away for both.
            noteOutage(offeredAt)
        }
        offeredAt = now
        if (steadyFor != null) confirmedAt = now
        if (isInformed()) endOutage()
        take(offered.records, offered.next, before)
    }

    /** Whether a peer that hears the store hands records on, so that failed reads don't mean that the store is away. */
    private fun isInformed(): Boolean =
        pace().isInformedByPeer || confirmedAt?.let { timer.now() - it < CONFIRMATION_LIFETIME } ?: false

    /** Begins to follow. */
    public fun start(): Unit = readOn(StoreCallKind.FIRST_READING)

    /**
     * Reads the newest records if the topic is known to end at [hinted], and the outstanding read has not told so
     * meanwhile.
     */
    public fun catchUp(hinted: StorePosition) {
        val before = known
        if (before == null || hinted <= before) {
            hintedAt = null
            return
        }
        val since = hintedAt ?: timer.now().also { hintedAt = it }
        if (catchingUp || timer.now() - since < hintPatience || timer.now() < catchUpFrom) return
        catchingUp = true
        logger.info("topic={} event=catch-up known={} hinted={}", topic, before, hinted)
        val sent = timer.now()
        store.forKind(StoreCallKind.CATCH_UP).readNewest(topic) { result ->
            catchingUp = false
            if (result is StoreReadResult.Records) {
                catchUpBackoff.reset()
                takeWhole(result, sent)
            } else {
                catchUpFrom = timer.now() + catchUpBackoff.onFailure(LONGEST_CATCH_UP_PAUSE)
            }
        }
    }

    private fun readOn(kind: StoreCallKind = StoreCallKind.READING) {
        val from = known
        val number = ++readNumber
        val sent = timer.now()
        if (from == null || expired) {
            store.forKind(kind).readNewest(topic) { whole(it, sent) }
        } else {
            val longest = pace().wait
            store.forKind(kind).read(topic, from.offset, longest) {
                if (number == readNumber) further(it, from, sent, longest)
            }
            watch(number, sent)
        }
    }

    /** A connection may have gone silent under a long read; when the pace becomes short, another read replaces it. */
    private fun watch(
        number: Long,
        sent: Moment,
    ) {
        timer.schedule(PACE_CHECK) {
            if (number != readNumber || resting) return@schedule
            if (timer.now() - sent > pace().wait + LATE_ANSWER) {
                logger.info("topic={} event=read-replaced after={}", topic, timer.now() - sent)
                readOn(StoreCallKind.REPLACED_READING)
            } else {
                watch(number, sent)
            }
        }
    }

    private fun whole(
        result: StoreReadResult,
        sent: Moment,
    ) {
        if (result is StoreReadResult.Records && takeWhole(result, sent)) {
            expired = false
            readOn()
        } else {
            lost(result)
        }
    }

    /** Changes come in series; each read is billed, so those that come close together are read together. */
    private fun rest(since: Moment) {
        val left = since + pace().rest - timer.now()
        resting = left.isPositive()
        if (resting) timer.schedule(minOf(left, PACE_CHECK)) { rest(since) } else readOn()
    }

    private fun take(
        records: List<KeyedRecord>,
        next: StorePosition,
        before: StorePosition,
    ) {
        known = maxOf(before, next)
        for (record in records) {
            if (record.offset >= before.offset && listener.isNews(record)) {
                recent += record
                listener.onRecord(record)
            }
        }
        while (recent.size > retained) recentFrom = next.copy(offset = recent.removeFirst().offset.next())
    }

    /** Takes over [result] unless it is older than what is known, as a reading of a lagging copy may be. */
    private fun takeWhole(
        result: StoreReadResult.Records,
        sent: Moment,
    ): Boolean {
        val before = known
        if (before != null && result.next < before) {
            logger.info("topic={} event=stale-reading known={} read={}", topic, before, result.next)
            return false
        }
        val restored = before != null && before.era < result.next.era
        if (restored && lostSince == null) listener.onRegained()
        regained()
        if (restored || steadySince == null) steadySince = timer.now()
        known = result.next
        noteCurrent(sent)
        recent.clear()
        recentFrom = result.next
        if (restored) {
            logger.warn("topic={} event=store-restored known={} read={}", topic, before, result.next)
            listener.onRestored(result.records)
        } else {
            listener.onWhole(result.records)
        }
        return true
    }

    private fun noteCurrent(asOf: Moment) {
        currentAt = maxOf(currentAt ?: asOf, asOf)
    }

    private fun further(
        result: StoreReadResult,
        from: StorePosition,
        sent: Moment,
        longest: Duration,
    ) {
        val due = sent + longest
        when (result) {
            is StoreReadResult.Records -> {
                val current = end.era
                if (result.next.era > current) {
                    logger.info(
                        "topic={} event=era-changed known={} read={} action=read-newest",
                        topic,
                        end,
                        result.next,
                    )
                    expired = true
                    readOn(StoreCallKind.WHOLE_READING)
                    return
                }
                if (timer.now() > due + LATE_ANSWER) noteOutage(due)
                regained()
                // An answer of an earlier era, or to a read of one, does not continue what is known.
                if (result.next.era == current && from.era == current) {
                    take(result.records, result.next, end)
                    // A read that heard nothing was answered when its wait was over.
                    noteCurrent(if (result.records.isEmpty() && timer.now() >= due) due else sent)
                }
                rest(timer.now())
            }
            is StoreReadResult.Expired -> {
                logger.info("topic={} event=history-expired at={} era={} action=read-newest", topic, known, result.era)
                expired = true
                readOn(StoreCallKind.WHOLE_READING)
            }
            is StoreReadResult.Unavailable -> lost(result)
        }
    }

    private fun lost(result: StoreReadResult) {
        if (failingSince == null) failingSince = timer.now()
        if (!isInformed()) noteOutage(timer.now())
        logger.debug("topic={} event=read-failed result={}", topic, result)
        resting = true
        val now = timer.now()
        retryDue = now + readBackoff.onFailure(longestRetryPause())
        awaitRetry(now)
    }

    /** A peer can only hand on what follows a reading as a whole, so without one the node must read soon itself. */
    private fun longestRetryPause(): Duration {
        val longest = pace().longestRetryPause
        return if (known == null || expired) minOf(longest, LONGEST_WHOLE_READING_PAUSE) else longest
    }

    /** Reads again soon if the last read failed, as the store answers reads of another topic again. */
    public fun onStoreAnswers() {
        if (retryDue != null) retryDue = timer.now()
    }

    /** The pace may become shorter meanwhile, as the peer that informs this node may fall silent. */
    private fun awaitRetry(failedAt: Moment) {
        val due = retryDue ?: return
        val left = minOf(due, failedAt + longestRetryPause()) - timer.now()
        resting = left.isPositive()
        if (resting) {
            timer.schedule(minOf(left, PACE_CHECK)) { awaitRetry(failedAt) }
        } else {
            retryDue = null
            readOn(StoreCallKind.RETRY)
        }
    }

    private fun noteOutage(since: Moment) {
        if (lostSince != null) return
        lostSince = since
        logger.warn("topic={} event=dependency-lost dependency=store", topic)
        listener.onLost()
    }

    private fun regained() {
        heardAt = timer.now()
        readBackoff.reset()
        failingSince?.let { if (offeredAt < it) noteOutage(it) }
        failingSince = null
        endOutage()
    }

    private fun endOutage() {
        val since = lostSince ?: return
        lostSince = null
        steadySince = timer.now()
        logger.info("topic={} event=dependency-regained dependency=store after={}", topic, timer.now() - since)
        listener.onRegained()
    }

    private fun refuteLoss() {
        val since = lostSince ?: return
        lostSince = null
        logger.info("topic={} event=dependency-loss-refuted dependency=store after={}", topic, timer.now() - since)
        listener.onLossRefuted()
    }

    private companion object {
        /** Several seconds of changes, more than a peer misses between two exchanges. */
        const val RECENT = 128

        /** The outstanding read hears of a record at about the same time as the peer that hints at it. */
        val HINT_PATIENCE = 250.milliseconds

        /** How soon a change of the pace is noticed. */
        val PACE_CHECK = 100.milliseconds

        /** A refused read costs like any other, so a store that is down is asked a few times a second at most. */
        val RETRY_PAUSE = 250.milliseconds

        val LONGEST_WHOLE_READING_PAUSE = 750.milliseconds

        /** Longer than a peer that hears the store takes to read and hand on the entries that are renewed. */
        val LONGEST_OFFER_GAP = 800.milliseconds

        /** Longer than a single reader's rest and one exchange, between which a node hears nothing from it. */
        val CONFIRMATION_LIFETIME = 1_500.milliseconds

        /** Short enough for a configuration to be in force in time after two failures. */
        val LONGEST_CATCH_UP_PAUSE = 1_000.milliseconds

        /** An answer later than this beyond the wait shows that the store was away meanwhile. */
        val LATE_ANSWER = 400.milliseconds
    }
}
