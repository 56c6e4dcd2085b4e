package plantainturn.relay.node

import org.apache.logging.log4j.LogManager
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.TopicListener
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource

/** Holds the newest valid configuration; its version never decreases. */
internal class ConfigurationWatch(
    private val decoder: RecordDecoder,
    private val onChange: () -> Unit,
) : TopicListener,
    RoutingSource {
    private val logger = LogManager.getLogger("configuration")

    override var current: RoutingConfiguration? = null
        private set

    override fun onWhole(records: List<KeyedRecord>): Unit = records.forEach(::onRecord)

    override fun onRecord(record: KeyedRecord) {
        val decoded = decoder.configuration(record) ?: return
        val before = current
        if (before != null && decoded.version <= before.version) {
            logger.info("event=configuration-ignored version={} current={}", decoded.version, before.version)
            return
        }
        current = decoded
        logger.info(
            "event=configuration-in-force version={} previous={} offset={} routes={}",
            decoded.version,
            before?.version,
            record.offset,
            decoded.table.routes.size,
        )
        onChange()
    }
}
