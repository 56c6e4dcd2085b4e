package plantainturn.connection.store

import org.apache.logging.log4j.LogManager
import plantainturn.connection.log.LogOffset
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Follows one keyed topic with one outstanding long read, and starts anew from the newest records when it must.
 *
 * Confined to the thread of the node's event loop.
 *
 * @param wait the longest time that the store holds a read without a record
 */
public class TopicFollower(
    private val store: RecordStore,
    private val topic: TopicName,
    private val listener: TopicListener,
    private val timer: TimerService,
    private val wait: Duration,
) {
    private val logger = LogManager.getLogger(TopicFollower::class.java)
    private var next: LogOffset? = null
    private var lostSince: Moment? = null
    private var failures = 0
    private var stopped = false

    /** Whether the last read gave no usable answer. */
    public val isLost: Boolean
        get() = lostSince != null

    /** Begins to follow. */
    public fun start(): Unit = readOn()

    /** Ends after the outstanding read. */
    public fun stop() {
        stopped = true
    }

    private fun readOn() {
        if (stopped) return
        val from = next
        if (from == null) {
            store.readNewest(topic) { whole(it) }
        } else {
            val sent = timer.now()
            store.read(topic, from, wait) { further(it, sent) }
        }
    }

    private fun whole(result: StoreReadResult) {
        if (result is StoreReadResult.Records) {
            regained()
            next = result.next
            listener.onWhole(result.records)
            readOn()
        } else {
            lost(result)
        }
    }

    private fun further(
        result: StoreReadResult,
        sent: Moment,
    ) {
        when (result) {
            is StoreReadResult.Records -> {
                if (timer.now() - sent > wait + LATE_ANSWER) noteOutage(sent)
                regained()
                next = result.next
                result.records.forEach(listener::onRecord)
                readOn()
            }
            StoreReadResult.Expired -> {
                logger.info("topic={} event=history-expired at={} action=read-newest", topic, next)
                next = null
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
