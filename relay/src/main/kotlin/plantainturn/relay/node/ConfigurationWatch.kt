package plantainturn.relay.node

import org.apache.logging.log4j.LogManager
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.TopicListener
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.route.RoutingConfiguration
import plantainturn.version.route.RoutingSource

/**
 * Holds the newest valid configuration; its version never decreases.
 *
 * The store may lose it, when it comes back from a copy, until the operator has written it again. Peers that have only
 * the copy get it from those that still hold it.
 */
internal class ConfigurationWatch(
    private val decoder: RecordDecoder,
    private val onChange: () -> Unit,
) : TopicListener,
    RoutingSource {
    private val logger = LogManager.getLogger("configuration")

    override var current: RoutingConfiguration? = null
        private set

    /** With digests in place of access keys, as peers receive it. */
    private var currentRecord: KeyedRecord? = null
    private var versionInStore: ConfigurationVersion? = null

    /** The number of the version in force, [NO_VERSION] if there is none. */
    val versionNumber: Long
        get() = current?.version?.number ?: NO_VERSION

    override fun onWhole(records: List<KeyedRecord>) {
        versionInStore = null
        records.forEach(::onRecord)
    }

    override fun onRecord(record: KeyedRecord) {
        val decoded = decoder.configuration(record) ?: return
        versionInStore = decoded.version
        offer(decoded, record)
    }

    /** Returns the record of the configuration if the store has lost it and a peer that has [version] lacks it. */
    fun lostRecordAfter(version: Long): KeyedRecord? =
        currentRecord?.takeIf { version < versionNumber && (versionInStore?.number ?: NO_VERSION) < versionNumber }

    /** Returns the record of the configuration if it is later than [version]. */
    fun recordAfter(version: Long): KeyedRecord? = currentRecord?.takeIf { version < versionNumber }

    /** Takes over the configuration in [record] of a peer, which the store has lost or does not tell this node. */
    fun onPeerRecord(record: KeyedRecord) {
        decoder.configuration(record)?.let { offer(it, record) }
    }

    private fun offer(
        decoded: RoutingConfiguration,
        record: KeyedRecord,
    ) {
        val before = current
        if (before != null && decoded.version <= before.version) {
            logger.info("event=configuration-ignored version={} current={}", decoded.version, before.version)
            return
        }
        current = decoded
        currentRecord = decoder.redacted(record)
        logger.info(
            "event=configuration-in-force version={} previous={} offset={} routes={} accounts={}",
            decoded.version,
            before?.version,
            record.offset,
            decoded.table.routes.size,
            decoded.accounts?.byName?.size,
        )
        onChange()
    }

    companion object {
        /** Below the number of any version. */
        const val NO_VERSION = -1L
    }
}
