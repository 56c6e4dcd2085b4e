package plantainturn.relay.node

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.TopicListener
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.UpstreamName

/** Keeps the roster of instances by their entries in the store. */
internal class InstanceWatch(
    private val decoder: RecordDecoder,
    private val roster: InstanceRoster,
    private val timer: TimerService,
    private val onChange: () -> Unit,
) : TopicListener {
    private val logger = LogManager.getLogger("roster")

    /** Whether the entries have been read once. */
    var isLoaded: Boolean = false
        private set

    override fun onWhole(records: List<KeyedRecord>) {
        roster.replace(records.filter { it.value != null }.mapNotNull(decoder::instance), timer.now())
        isLoaded = true
        logger.info("event=roster-read instances={}", roster.instances.size)
        onChange()
    }

    override fun isNews(record: KeyedRecord): Boolean =
        record.value == null || decoder.instance(record)?.let { !roster.knows(it) } ?: false

    override fun onRecord(record: KeyedRecord) {
        val name = UpstreamName(record.key)
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

    override fun onLost(): Unit = roster.storeLost()

    override fun onRegained(): Unit = roster.storeReturned(timer.now())

    private fun logChange(
        now: UpstreamInstance,
        record: KeyedRecord,
    ) {
        val before = roster.instances[now.name]
        val moved = before?.location != now.location || before.startedAt != now.startedAt
        if (before == null || moved || before.leaving != now.leaving) {
            logger.info(
                "instance={} event=entry offset={} service={} location={} leaving={} startedAt={}",
                now.name,
                record.offset,
                now.service,
                now.location,
                now.leaving,
                now.startedAt,
            )
        }
    }

    /** Drops instances whose entries have been missing for long enough. */
    fun expire() {
        val gone = roster.expire(timer.now())
        if (gone.isEmpty()) return
        gone.forEach { logger.info("instance={} event=dropped reason=\"entry missing\"", it) }
        onChange()
    }
}
