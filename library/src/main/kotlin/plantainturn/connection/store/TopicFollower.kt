package plantainturn.connection.store

import org.apache.logging.log4j.LogManager
import plantainturn.connection.log.LogOffset
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import kotlin.time.Duration.Companion.milliseconds

/**
 * Follows one keyed topic with one outstanding long read, and starts anew from the newest records when it must.
 *
 * A long read may hear nothing although there are records, so peers' hints of a later end are followed too. Readings
 * that are older than what is known are dropped. Confined to the thread of the node's event loop.
 *
 * @param pace how long reads wait and rest, looked at before each
 */
public class TopicFollower(
    private val store: RecordStore,
    private val topic: TopicName,
    private val listener: TopicListener,
    private val timer: TimerService,
    private val pace: () -> ReadPace,
) {
    private val logger = LogManager.getLogger(TopicFollower::class.java)
    private var known: LogOffset? = null
    private var expired = false
    private var catchingUp = false
    private var hintedAt: Moment? = null
    private var lostSince: Moment? = null
    private var failures = 0

    /** Where the topic ended when it was last read; 0 before the first reading. */
    public val end: LogOffset
        get() = known ?: LogOffset.FIRST

    /** Begins to follow. */
    public fun start(): Unit = readOn()

    /**
     * Reads the newest records if the topic is known to end at [hinted], and the outstanding read or rest has not told
     * so within the usual rest.
     */
    public fun catchUp(hinted: LogOffset) {
        val before = known
        if (before == null || hinted <= before) {
            hintedAt = null
            return
        }
        val since = hintedAt ?: timer.now().also { hintedAt = it }
        if (catchingUp || timer.now() - since < pace().rest) return
        catchingUp = true
        logger.info("topic={} event=catch-up known={} hinted={}", topic, before, hinted)
        store.readNewest(topic) { result ->
            catchingUp = false
            if (result is StoreReadResult.Records) takeWhole(result)
        }
    }

    private fun readOn() {
        val from = known
        if (from == null || expired) {
            store.readNewest(topic) { whole(it) }
        } else {
            val sent = timer.now()
            val longest = pace().wait
            store.read(topic, from, longest) { further(it, sent + longest) }
        }
    }

    private fun whole(result: StoreReadResult) {
        if (result is StoreReadResult.Records && takeWhole(result)) {
            expired = false
            readOn()
        } else {
            lost(result)
        }
    }

    /** Changes come in series; each read is priced, so those that come close together are read together. */
    private fun rest() {
        val rest = pace().rest
        if (rest.isPositive()) timer.schedule(rest) { readOn() } else readOn()
    }

    /** Takes over [result] unless it is older than what is known, as a reading of a lagging copy may be. */
    private fun takeWhole(result: StoreReadResult.Records): Boolean {
        val before = known
        if (before != null && result.next < before) {
            logger.info("topic={} event=stale-reading known={} read={}", topic, before, result.next)
            return false
        }
        regained()
        known = result.next
        listener.onWhole(result.records)
        return true
    }

    private fun further(
        result: StoreReadResult,
        due: Moment,
    ) {
        when (result) {
            is StoreReadResult.Records -> {
                if (timer.now() > due + LATE_ANSWER) noteOutage(due)
                regained()
                val before = end
                known = maxOf(before, result.next)
                result.records.filter { it.offset >= before }.forEach(listener::onRecord)
                rest()
            }
            StoreReadResult.Expired -> {
                logger.info("topic={} event=history-expired at={} action=read-newest", topic, known)
                expired = true
                readOn()
            }
            is StoreReadResult.Unavailable -> lost(result)
        }
    }

    private fun lost(result: StoreReadResult) {
        if (lostSince == null) noteOutage(timer.now())
        failures++
        logger.debug("topic={} event=read-failed result={}", topic, result)
        timer.schedule(RETRY_PAUSE * minOf(failures, MAXIMUM_PAUSE_FACTOR)) { readOn() }
    }

    private fun noteOutage(since: Moment) {
        if (lostSince != null) return
        lostSince = since
        logger.warn("topic={} event=dependency-lost dependency=store", topic)
        listener.onLost()
    }

    private fun regained() {
        failures = 0
        val since = lostSince ?: return
        lostSince = null
        logger.info("topic={} event=dependency-regained dependency=store after={}", topic, timer.now() - since)
        listener.onRegained()
    }

    private companion object {
        /** A refused read costs like any other, so a store that is down is asked a few times a second at most. */
        val RETRY_PAUSE = 250.milliseconds
        const val MAXIMUM_PAUSE_FACTOR = 3

        /** An answer later than this beyond the wait shows that the store was away meanwhile. */
        val LATE_ANSWER = 400.milliseconds
    }
}
