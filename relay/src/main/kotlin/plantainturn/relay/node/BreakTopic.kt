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
 * The breaks of requests at instances, in a topic of the store that every node writes and reads.
 *
 * Each break has a key of its own, so that writers don't conflict, and a record that is written or read twice changes
 * nothing. A node that starts again learns from it what it had forgotten.
 *
 * @param civilClock Unix milliseconds, by which only the age of records is told
 */
internal class BreakTopic(
    private val store: RecordStore,
    private val register: QuarantineRegister,
    private val timer: TimerService,
    private val civilClock: () -> Long,
) : TopicListener,
    CrashEvidencePublisher {
    /** One break as it stands in the store; [at] is in Unix milliseconds. */
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
    private val unwritten = LinkedHashMap<String, BreakRecord>()
    private val written = HashMap<String, Long>()
    private var writing = false

    override fun publish(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    ) {
        val record = BreakRecord(fingerprint, evidence, civilClock())
        if (record.key in written) return
        unwritten[record.key] = record
        if (unwritten.size > MOST_UNWRITTEN) drop(unwritten.keys.first())
        writeAfter(GATHERING_TIME)
    }

    override fun onWhole(records: List<KeyedRecord>) {
        written.keys.retainAll(records.map { it.key }.toSet())
        records.forEach(::take)
    }

    /** Several nodes may notice one break, and a call that was not answered is repeated. */
    override fun isNews(record: KeyedRecord): Boolean = record.value == null || record.key !in written

    override fun onRecord(record: KeyedRecord): Unit = take(record)

    /** Removes records that count no more. */
    fun dropOld() {
        val now = civilClock()
        val old = written.filterValues { now - it > QUARANTINE_SETTINGS.quarantineDuration.inWholeMilliseconds }.keys
        if (old.isEmpty()) return
        store.appendAll(NAME, old.take(MOST_IN_CALL).map { KeyedValue(it, null) }, at = null) {
            logger.info("event=old-breaks-dropped count={} result={}", old.size, it)
        }
    }

    private fun take(record: KeyedRecord) {
        val value = record.value
        if (value == null) {
            written.remove(record.key)
            return
        }
        if (!isNews(record)) return
        val decoded = decode(value) ?: return
        written[record.key] = decoded.at
        unwritten.remove(record.key)
        val age = (civilClock() - decoded.at).coerceAtLeast(0).milliseconds
        val left = QUARANTINE_SETTINGS.suspicionDuration - age
        logger.info(
            "fingerprint={} event=break-heard {} age={} offset={}",
            decoded.fingerprint,
            decoded.evidence,
            age,
            record.offset,
        )
        val breaks = persistentListOf(decoded.evidence)
        register.merge(listOf(QuarantineEntry(decoded.fingerprint, breaks, false, left.inWholeMilliseconds)))
    }

    private fun writeAfter(pause: Duration) {
        if (writing) return
        writing = true
        timer.schedule(pause) { write() }
    }

    private fun write() {
        val batch = unwritten.values.take(MOST_IN_CALL)
        if (batch.isEmpty()) {
            writing = false
            return
        }
        val records =
            batch.map { KeyedValue(it.key, Json.encodeToString(BreakRecord.serializer(), it).toByteArray()) }
        store.appendAll(NAME, records, at = null) { result ->
            writing = false
            val appended = result is StoreAppendResult.Appended
            logger.info("event=breaks-written count={} result={} left={}", batch.size, result, unwritten.size)
            if (appended) batch.forEach { if (unwritten.remove(it.key) != null) written[it.key] = it.at }
            if (unwritten.isNotEmpty()) writeAfter(if (appended) GATHERING_TIME else RETRY_PAUSE)
        }
    }

    private fun drop(key: String) {
        unwritten.remove(key)
        logger.warn("event=break-dropped key={} reason=\"the store has taken no breaks for long\"", key)
    }

    private fun decode(value: ByteArray): BreakRecord? =
        try {
            Json.decodeFromString(BreakRecord.serializer(), value.decodeToString())
        } catch (exception: SerializationException) {
            logger.warn("event=break-unreadable reason=\"{}\"", exception.message?.lineSequence()?.first())
            null
        }

    internal companion object {
        /** The topic's name. */
        val NAME = TopicName("breaks", keyed = true)

        /** A request's fingerprint is its caller's alone, so that it can be remembered for long. */
        val QUARANTINE_SETTINGS =
            QuarantineSettings(
                quarantineDuration = 1.hours,
                suspicionDuration = 10.minutes,
                maximumAtRisk = QuarantineRegister.MAXIMUM_BREAKS,
                capacity = 8_192,
            )

        /** How often the records are looked through for old ones. */
        val SWEEP_PERIOD = 10.minutes

        /** An instance ends under many requests at once; each call is billed. */
        private val GATHERING_TIME = 200.milliseconds
        private val RETRY_PAUSE = 300.milliseconds
        private const val MOST_IN_CALL = 500
        private const val MOST_UNWRITTEN = 4_096
    }
}
