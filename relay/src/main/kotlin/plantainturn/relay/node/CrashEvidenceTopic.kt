package plantainturn.relay.node

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.KeyedValue
import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.StoreAppendResult
import plantainturn.connection.store.TopicListener
import plantainturn.connection.store.TopicName
import plantainturn.process.time.TimerService
import plantainturn.relay.request.CrashEvidencePublisher
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.QuarantineEntry
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.quarantine.QuarantineSettings
import plantainturn.request.quarantine.RequestFingerprint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Shares crash evidence, of requests that broke off at instances, through a topic of the store that every node writes
 * and reads.
 *
 * Each record has a key of its own, so that writers do not conflict, and writing or reading a record twice has no
 * effect. A restarted node recovers the evidence from the topic.
 *
 * @param wallClock returns Unix milliseconds; used only for the age of records
 */
internal class CrashEvidenceTopic(
    private val store: RecordStore,
    private val register: QuarantineRegister,
    private val timer: TimerService,
    private val wallClock: () -> Long,
) : TopicListener,
    CrashEvidencePublisher {
    /** Crash evidence as stored; [at] is in Unix milliseconds. */
    @Serializable
    private data class BreakRecord(
        val fingerprint: RequestFingerprint,
        val evidence: CrashEvidence,
        val at: Long,
    ) {
        val key: String
            get() = "$fingerprint/${evidence.upstream}/${evidence.incarnation}"
    }

    private val logger = LogManager.getLogger("quarantine")
    private val pending = LinkedHashMap<String, BreakRecord>()
    private val written = HashMap<String, Long>()
    private var writing = false

    override fun publish(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    ) {
        val record = BreakRecord(fingerprint, evidence, wallClock())
        if (record.key in written) return
        pending[record.key] = record
        if (pending.size > MAXIMUM_PENDING) drop(pending.keys.first())
        scheduleWrite(BATCHING_DELAY)
    }

    override fun onWhole(records: List<KeyedRecord>) {
        written.keys.retainAll(records.map { it.key }.toSet())
        records.forEach(::applyRecord)
    }

    /** Records may be repeated: several nodes may notice one crash, and an append without an answer is retried. */
    override fun isNews(record: KeyedRecord): Boolean = record.value == null || record.key !in written

    override fun onRecord(record: KeyedRecord): Unit = applyRecord(record)

    /** Removes records that are too old to count. */
    fun dropExpired() {
        val now = wallClock()
        val old = written.filterValues { now - it > QUARANTINE_SETTINGS.quarantineDuration.inWholeMilliseconds }.keys
        if (old.isEmpty()) return
        store.appendAll(NAME, old.take(MAXIMUM_BATCH_SIZE).map { KeyedValue(it, null) }, at = null) {
            logger.info("event=old-breaks-dropped count={} result={}", old.size, it)
        }
    }

    private fun applyRecord(record: KeyedRecord) {
        val value = record.value
        if (value == null) {
            written.remove(record.key)
            return
        }
        if (!isNews(record)) return
        val decoded = decode(value) ?: return
        written[record.key] = decoded.at
        pending.remove(record.key)
        val age = (wallClock() - decoded.at).coerceAtLeast(0).milliseconds
        val remaining = QUARANTINE_SETTINGS.suspicionDuration - age
        logger.info(
            "fingerprint={} event=break-heard {} age={} offset={}",
            decoded.fingerprint,
            decoded.evidence,
            age,
            record.offset,
        )
        val breaks = persistentListOf(decoded.evidence)
        register.merge(listOf(QuarantineEntry(decoded.fingerprint, breaks, false, remaining.inWholeMilliseconds)))
    }

    private fun scheduleWrite(delay: Duration) {
        if (writing) return
        writing = true
        timer.schedule(delay) { write() }
    }

    private fun write() {
        val batch = pending.values.take(MAXIMUM_BATCH_SIZE)
        if (batch.isEmpty()) {
            writing = false
            return
        }
        val records =
            batch.map { KeyedValue(it.key, Json.encodeToString(BreakRecord.serializer(), it).toByteArray()) }
        store.appendAll(NAME, records, at = null) { result ->
            writing = false
            val appended = result is StoreAppendResult.Appended
            logger.info("event=breaks-written count={} result={} left={}", batch.size, result, pending.size)
            if (appended) batch.forEach { if (pending.remove(it.key) != null) written[it.key] = it.at }
            if (pending.isNotEmpty()) scheduleWrite(if (appended) BATCHING_DELAY else RETRY_DELAY)
        }
    }

    private fun drop(key: String) {
        pending.remove(key)
        logger.warn("event=break-dropped key={} reason=\"the store has accepted no crash evidence for long\"", key)
    }

    private fun decode(value: ByteArray): BreakRecord? =
        try {
            Json.decodeFromString(BreakRecord.serializer(), value.decodeToString())
        } catch (exception: SerializationException) {
            logger.warn("event=break-unreadable reason=\"{}\"", exception.message?.lineSequence()?.first())
            null
        }

    internal companion object {
        val NAME = TopicName("breaks", keyed = true)

        /** A fingerprint belongs to one caller only, so it can be retained for a long time. */
        val QUARANTINE_SETTINGS =
            QuarantineSettings(
                quarantineDuration = 1.hours,
                suspicionDuration = 10.minutes,
                maximumAtRisk = QuarantineRegister.MAXIMUM_BREAKS,
                capacity = 8_192,
            )

        /** Interval between searches for records that are too old. */
        val SWEEP_PERIOD = 10.minutes

        /** A crash of an instance breaks off many requests at once, and each call is billed. */
        private val BATCHING_DELAY = 200.milliseconds
        private val RETRY_DELAY = 300.milliseconds
        private const val MAXIMUM_BATCH_SIZE = 500
        private const val MAXIMUM_PENDING = 4_096
    }
}
