package plantainturn.relay.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.connection.roster.VersionHistory
import plantainturn.connection.store.KeyedRecord
import plantainturn.connection.store.KeyedValue
import plantainturn.connection.store.RecordStore
import plantainturn.connection.store.StoreCallKind
import plantainturn.connection.store.StoreReadResult
import plantainturn.connection.store.TopicName
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps in the store which services had several software versions lately, for nodes that start.
 *
 * A node that starts sees the present entries only, and not that a version which began streams has just left. The
 * issuer writes while versions are mixed, so nothing is written in deployments that have one version; each node reads
 * once when it starts.
 *
 * @param wallClock returns Unix milliseconds
 * @param mayWrite returns whether this node is the one that writes
 */
internal class VersionRecords(
    private val store: RecordStore,
    private val history: VersionHistory,
    private val timer: TimerService,
    private val wallClock: () -> Long,
    private val mayWrite: () -> Boolean,
) {
    private val logger = LogManager.getLogger("versions")
    private var writtenAt: Moment? = null
    private var writing = false

    /** Whether what earlier nodes wrote has been read. */
    var isLoaded: Boolean = false
        private set

    /** Reads what was written, again and again until the store answers. */
    fun start(): Unit = read(StoreCallKind.FIRST_READING)

    private fun read(kind: StoreCallKind) {
        store.forKind(kind).readNewest(TOPIC) { result ->
            if (result is StoreReadResult.Records) {
                result.records.forEach(::apply)
                isLoaded = true
            } else {
                timer.schedule(RETRY_PAUSE) { read(StoreCallKind.RETRY) }
            }
        }
    }

    /** Writes the services with several versions, if that is due. */
    fun step() {
        val mixed = history.mixedServices
        val due = writtenAt?.let { timer.now() - it >= REFRESH_PERIOD } ?: true
        val wanted = mixed.isNotEmpty() && due
        if (!wanted || writing || !mayWrite()) return
        writing = true
        val records =
            mixed.map { service ->
                val versions = history.recent(service, Duration.ZERO).map { it.name }
                KeyedValue(service.value, Json.encodeToString(MixedVersions(versions, wallClock())).toByteArray())
            }
        store.appendAll(TOPIC, records, at = null) { result ->
            writing = false
            writtenAt = timer.now()
            logger.info("event=mixed-versions-written services={} result={}", mixed, result)
        }
    }

    private fun apply(record: KeyedRecord) {
        val value = record.value ?: return
        try {
            val mixed = Json.decodeFromString(MixedVersions.serializer(), value.decodeToString())
            val age = (wallClock() - mixed.at).milliseconds - REFRESH_PERIOD - CLOCK_DIFFERENCE
            mixed.versions.forEach {
                history.onSeen(ServiceName(record.key), SoftwareVersion(it), age.coerceAtLeast(Duration.ZERO))
            }
            logger.info("service={} event=mixed-versions-read age={} versions={}", record.key, age, mixed.versions)
        } catch (exception: SerializationException) {
            val reason = exception.message?.lineSequence()?.first()
            logger.warn("service={} event=mixed-versions-unreadable reason=\"{}\"", record.key, reason)
        }
    }

    /**
     * The versions of a service that served side by side.
     *
     * @property at when they did, in Unix milliseconds
     */
    @Serializable
    private data class MixedVersions(
        val versions: List<String>,
        val at: Long,
    )

    private companion object {
        val TOPIC = TopicName("versions", keyed = true)
        val RETRY_PAUSE = 500.milliseconds

        /** Each write is billed. */
        val REFRESH_PERIOD = 5.seconds

        /** By which the clocks of nodes may differ. */
        val CLOCK_DIFFERENCE = 3.seconds
    }
}
