package plantainturn.relay.node

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.TopicListener
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.seconds

/**
 * Updates the roster of instances from their entries in the store.
 *
 * @param onStoreAnswers called when the store answers again after an outage
 */
internal class InstanceWatch(
    private val decoder: RecordDecoder,
    private val roster: InstanceRoster,
    private val timer: TimerService,
    private val onChange: () -> Unit,
    private val onStoreAnswers: () -> Unit,
) : TopicListener {
    private val logger = LogManager.getLogger("roster")

    /** Whether the entries have been read at least once. */
    var isLoaded: Boolean = false
        private set

    /** Entries in the copy that the store came back from, of instances that were not known; by key. */
    private val unconfirmed = HashMap<String, KeyedRecord>()
    private var unconfirmedSince = Moment.ORIGIN

    override fun onWhole(records: List<KeyedRecord>) {
        unconfirmed.values.retainAll { left -> records.any { it.key == left.key && it.offset == left.offset } }
        val confirmed = records.filter { it.value != null && it.key !in unconfirmed }
        roster.replace(confirmed.mapNotNull(decoder::instance), timer.now())
        isLoaded = true
        logger.info("event=roster-read instances={}", roster.instances.size)
        onChange()
    }

    override fun onRestored(records: List<KeyedRecord>) {
        val entries = records.filter { it.value != null }.mapNotNull(decoder::instance)
        val leftOut = roster.restore(entries, timer.now())
        unconfirmed.clear()
        records.filter { UpstreamName(it.key) in leftOut }.associateByTo(unconfirmed) { it.key }
        unconfirmedSince = timer.now()
        logger.info(
            "event=roster-restored instances={} entries={} leftOut={}",
            roster.instances.size,
            entries.size,
            leftOut,
        )
        onChange()
    }

    override fun isNews(record: KeyedRecord): Boolean =
        record.value == null || decoder.instance(record)?.let { !roster.isCurrent(it) } ?: false

    override fun onRecord(record: KeyedRecord) {
        val name = UpstreamName(record.key)
        unconfirmed.remove(record.key)
        if (record.value == null) {
            roster.remove(name, timer.now())
            logger.info("instance={} event=entry-gone offset={} held={}", name, record.offset, name in roster.instances)
        } else {
            val decoded = decoder.instance(record) ?: return
            logChange(decoded, record)
            roster.put(decoded)
        }
        onChange()
    }

    override fun onLost(): Unit = roster.onStoreLost()

    override fun onRegained() {
        roster.onStoreRegained(timer.now())
        onStoreAnswers()
    }

    override fun onLossRefuted(): Unit = roster.onStoreLossRefuted()

    private fun logChange(
        current: UpstreamInstance,
        record: KeyedRecord,
    ) {
        val before = roster.instances[current.name]
        val moved = before?.location != current.location || before.startedAt != current.startedAt
        if (before == null || moved || before.leaving != current.leaving) {
            logger.info(
                "instance={} event=entry offset={} service={} version={} location={} leaving={} startedAt={}",
                current.name,
                record.offset,
                current.service,
                current.softwareVersion,
                current.location,
                current.leaving,
                current.startedAt,
            )
        }
    }

    /** Removes instances whose entries have been missing for longer than the grace period. */
    fun expire() {
        confirmLongPresent()
        val expired = roster.expire(timer.now())
        if (expired.isEmpty()) return
        expired.forEach { logger.info("instance={} event=dropped reason=\"entry missing\"", it) }
        onChange()
    }

    /** The store drops the entries of instances that have ended, so those that stay are alive. */
    private fun confirmLongPresent() {
        if (unconfirmed.isEmpty() || timer.now() - unconfirmedSince < CONFIRMATION_TIME) return
        val present = unconfirmed.values.toList()
        present.forEach(::onRecord)
    }

    private companion object {
        /** Longer than the store keeps the entry of an instance that does not write. */
        val CONFIRMATION_TIME = 5.seconds
    }
}
