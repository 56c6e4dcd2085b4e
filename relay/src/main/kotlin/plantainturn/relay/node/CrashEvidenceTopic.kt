package plantainturn.relay.node

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.KeyedValue
import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.StoreAppendResult
import plantainturn.connection.store.StorePosition
import plantainturn.connection.store.TopicListener
import plantainturn.connection.store.TopicName
import plantainturn.process.time.TimerService
import plantainturn.relay.request.CrashEvidencePublisher
import plantainturn.request.quarantine.CrashAttribution
import plantainturn.request.quarantine.CrashAttributionSettings
import plantainturn.request.quarantine.RequestBreak
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Shares evidence about crashes through a topic of the store that every node writes and reads: requests that broke off,
 * requests and parts of prompts that were answered nevertheless, and trials of blocked ones.
 *
 * Each break has a key of its own, so that writers do not conflict, and writing or reading a record twice has no
 * effect. A restarted node recovers the evidence from the topic, so what the store loses when it comes back from a copy
 * is written again. A trial is claimed by an append at the known end of
 * the topic, so that only one node makes it.
 *
 * @param nodes returns the number of nodes
 * @param end returns where the topic ended when it was last read
 * @param wallClock returns Unix milliseconds; used only for the age of records
 */
internal class CrashEvidenceTopic(
    private val store: RecordStore,
    private val attribution: CrashAttribution,
    private val timer: TimerService,
    private val random: Random,
    private val end: () -> StorePosition,
    private val nodes: () -> Int,
    private val wallClock: () -> Long,
) : TopicListener,
    CrashEvidencePublisher {
    private val logger = LogManager.getLogger("quarantine")
    private val pending = LinkedHashMap<String, CrashEvidenceRecord?>()
    private val pendingAnswers = HashSet<RequestFingerprint>()
    private val written = LinkedHashMap<String, CrashEvidenceRecord>()
    private val lost = LinkedHashMap<String, CrashEvidenceRecord>()
    private val withdrawn = LinkedHashSet<String>()
    private var writing = false
    private var claiming = false

    override fun publish(noticed: RequestBreak) {
        val record =
            CrashEvidenceRecord(
                noticed.traits.request,
                noticed.at,
                noticed.evidence,
                noticed.traits.parts,
                noticed.answered.toList(),
            )
        if (record.key !in written) enqueue(record.key, record)
    }

    override fun withdraw(noticed: RequestBreak) {
        val key = CrashEvidenceRecord(noticed.traits.request, noticed.at, noticed.evidence, noticed.traits.parts).key
        enqueue(key, null)
    }

    /** Waits for a random time, in which another node may write that the same traits were answered. */
    override fun publishAnswered(
        answered: List<RequestFingerprint>,
        traits: RequestTraits,
    ) {
        val added = answered.filter(pendingAnswers::add)
        if (added.isEmpty()) return
        timer.schedule(SuppressionDelay.next(nodes(), random)) {
            for (trait in added.filter(pendingAnswers::remove)) {
                val record = CrashEvidenceRecord(trait, wallClock(), ofRequest = trait == traits.request)
                enqueue(record.key, record)
            }
        }
    }

    override fun claimTrial(
        blocked: List<RequestFingerprint>,
        done: () -> Unit,
    ): Boolean {
        if (claiming) return false
        claiming = true
        val claims =
            blocked.map { CrashEvidenceRecord(it, wallClock(), trial = attribution.nextTrialOf(it)) }
        store.appendAll(NAME, claims.map { KeyedValue(it.key, encode(it)) }, end()) { result ->
            logger.info("event=trial-claimed traits={} result={}", blocked, result)
            if (result is StoreAppendResult.Appended) {
                claims.forEach { attribution.onTrialClaimed(it.fingerprint, it.trial, own = true) }
            }
            timer.schedule(RETRY_DELAY) { claiming = false }
            done()
        }
        return true
    }

    override fun onWhole(records: List<KeyedRecord>) {
        written.keys.retainAll(records.map { it.key }.toSet())
        records.sortedBy { it.offset }.forEach(::applyRecord)
    }

    /** Waits for a random time before it writes what was lost, as all nodes notice the loss at the same time. */
    override fun onRestored(records: List<KeyedRecord>) {
        val present = records.map { it.key }.toSet()
        lost += written.filterKeys { it !in present }
        written.keys.removeAll(lost.keys)
        val (outdated, valid) = records.sortedBy { it.offset }.partition { it.key in withdrawn }
        outdated.forEach { enqueue(it.key, null) }
        valid.forEach(::applyRecord)
        logger.info("event=breaks-restored read={} lost={} withdrawn={}", present.size, lost.size, outdated.size)
        timer.schedule(MAXIMUM_RESTORE_DELAY * random.nextDouble()) {
            lost.forEach { (key, record) -> enqueue(key, record) }
            lost.clear()
        }
    }

    /** Records may be repeated: several nodes may notice one crash, and an append without an answer is retried. */
    override fun isNews(record: KeyedRecord): Boolean =
        record.value == null || record.key !in written || !isBreak(record.key)

    override fun onRecord(record: KeyedRecord): Unit = applyRecord(record)

    /** Removes records that are too old to count. */
    fun dropExpired() {
        val now = wallClock()
        val old = written.filterValues { now - it.at > SETTINGS.quarantineDuration.inWholeMilliseconds }.keys
        if (old.isEmpty()) return
        store.appendAll(NAME, old.take(MAXIMUM_BATCH_SIZE).map { KeyedValue(it, null) }, at = null) {
            logger.info("event=old-breaks-dropped count={} result={}", old.size, it)
        }
    }

    private fun applyRecord(record: KeyedRecord) {
        val value = record.value
        if (value == null) {
            noteWithdrawn(record.key)
            val removed = written.remove(record.key) ?: return
            removed.evidence?.let { attribution.onSurvived(removed.traits, it) }
            return
        }
        lost.remove(record.key)
        if (!isNews(record) || isKnownAnswer(record.key)) return
        val decoded = decode(value) ?: return
        keep(record.key, decoded)
        withdrawn.remove(record.key)
        if (isBreak(record.key)) pending.remove(record.key)
        val age = (wallClock() - decoded.at).coerceAtLeast(0).milliseconds
        logger.info("key={} event=break-heard age={} offset={} {}", record.key, age, record.offset, decoded)
        apply(decoded, age)
    }

    /**
     * Returns whether the record [key] repeats an answer that contradicts nothing here.
     *
     * In an outage many nodes write the same answers, which is all that most nodes hear then.
     */
    private fun isKnownAnswer(key: String): Boolean {
        if (!key.startsWith(CrashEvidenceRecord.ANSWER_PREFIX)) return false
        val known = written[key] ?: return false
        if (attribution.hasCase(known.fingerprint)) return false
        pendingAnswers -= known.fingerprint
        keep(key, known)
        return true
    }

    private fun apply(
        record: CrashEvidenceRecord,
        age: Duration,
    ) {
        val evidence = record.evidence
        when {
            evidence != null -> {
                attribution.onBreak(RequestBreak(record.traits, evidence, record.answered.toSet(), record.at), age)
            }
            record.trial > 0 -> attribution.onTrialClaimed(record.fingerprint, record.trial, own = false)
            else -> {
                pendingAnswers -= record.fingerprint
                if (record.ofRequest) {
                    attribution.onRequestAnswered(record.fingerprint)
                } else {
                    attribution.onPartAnswered(record.fingerprint)
                }
            }
        }
    }

    /** A null [record] removes what was written under [key]. */
    private fun enqueue(
        key: String,
        record: CrashEvidenceRecord?,
    ) {
        pending.remove(key)
        pending[key] = record
        if (pending.size > MAXIMUM_PENDING) drop(pending.keys.first())
        scheduleWrite(BATCHING_DELAY)
    }

    private fun scheduleWrite(delay: Duration) {
        if (writing) return
        writing = true
        timer.schedule(delay) { write() }
    }

    private fun write() {
        val batch = pending.entries.take(MAXIMUM_BATCH_SIZE).associate { it.key to it.value }
        if (batch.isEmpty()) {
            writing = false
            return
        }
        val records = batch.map { (key, record) -> KeyedValue(key, record?.let(::encode)) }
        store.appendAll(NAME, records, at = null) { result ->
            writing = false
            // What was appended before a restore that is known by now may be lost.
            val appended = result is StoreAppendResult.Appended && result.position.era >= end().era
            logger.info("event=breaks-written count={} result={} left={}", batch.size, result, pending.size)
            if (appended) batch.forEach(::onWritten)
            if (pending.isNotEmpty()) scheduleWrite(if (appended) BATCHING_DELAY else RETRY_DELAY)
        }
    }

    private fun onWritten(
        key: String,
        record: CrashEvidenceRecord?,
    ) {
        if (!pending.remove(key, record)) return
        if (record == null) {
            noteWithdrawn(key)
            written.remove(key)
        } else {
            withdrawn.remove(key)
            keep(key, record)
        }
    }

    /** Keeps the order of the records: after a restore, an answer has to be written after the breaks it contradicts. */
    private fun keep(
        key: String,
        record: CrashEvidenceRecord,
    ) {
        written.remove(key)
        written[key] = record
    }

    private fun noteWithdrawn(key: String) {
        lost.remove(key)
        withdrawn += key
        if (withdrawn.size > MAXIMUM_PENDING) withdrawn.remove(withdrawn.first())
    }

    private fun drop(key: String) {
        pending.remove(key)
        logger.warn("event=break-dropped key={} reason=\"the store has accepted no crash evidence for long\"", key)
    }

    private fun isBreak(key: String): Boolean =
        !key.startsWith(CrashEvidenceRecord.ANSWER_PREFIX) && !key.startsWith(CrashEvidenceRecord.TRIAL_PREFIX)

    private fun encode(record: CrashEvidenceRecord): ByteArray =
        FORMAT.encodeToString(CrashEvidenceRecord.serializer(), record).toByteArray()

    private fun decode(value: ByteArray): CrashEvidenceRecord? =
        try {
            FORMAT.decodeFromString(CrashEvidenceRecord.serializer(), value.decodeToString())
        } catch (exception: SerializationException) {
            logger.warn("event=break-unreadable reason=\"{}\"", exception.message?.lineSequence()?.first())
            null
        }

    internal companion object {
        val NAME = TopicName("breaks", keyed = true)
        val SETTINGS = CrashAttributionSettings()

        /** Interval between searches for records that are too old. */
        val SWEEP_PERIOD = 10.minutes

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** A crash of an instance breaks off many requests at once, and each call is billed. */
        private val BATCHING_DELAY = 200.milliseconds
        private val RETRY_DELAY = 300.milliseconds

        /** All nodes notice a restore at about the same time, and need not all write what it lost. */
        private val MAXIMUM_RESTORE_DELAY = 600.milliseconds
        private const val MAXIMUM_BATCH_SIZE = 500
        private const val MAXIMUM_PENDING = 4_096
    }
}
