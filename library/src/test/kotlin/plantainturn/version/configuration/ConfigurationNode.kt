package plantainturn.version.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import plantainturn.connection.log.AdvancingPause
import plantainturn.connection.log.FollowResult
import plantainturn.connection.log.LogRecordSource
import plantainturn.connection.log.LogService
import plantainturn.connection.log.RecordAppender
import plantainturn.connection.log.RecordIdentifiers
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.SnapshotSettings
import plantainturn.connection.log.SnapshotWriter
import plantainturn.connection.log.StreamName
import plantainturn.process.time.VirtualTimerService
import kotlin.time.Duration

/** The configuration's part of one node, stepped by a test. */
class ConfigurationNode(
    log: LogService,
    incarnation: String,
    val timer: VirtualTimerService = VirtualTimerService(),
    snapshots: SnapshotSettings = SnapshotSettings(),
    rank: Int = 0,
    peers: () -> List<RecordSource> = { emptyList() },
) {
    val pause = AdvancingPause(timer)
    val follower = ConfigurationFollower(log, pause, peers)
    private val appender =
        RecordAppender(log, StreamName.CONFIGURATION, RecordIdentifiers(incarnation), timer, pause)
    private val submitter = ConfigurationSubmitter(log, follower, appender, timer, pause)
    private val writer =
        SnapshotWriter(follower.stream, ConfigurationFold.rule, appender, timer, snapshots) { rank }
    private val source = LogRecordSource(log, StreamName.CONFIGURATION)

    val version: Long?
        get() = follower.current?.version?.number

    fun read(): FollowResult = follower.stream.step(source, Duration.ZERO)

    fun submit(patch: ConfigurationPatch): PatchResult = submitter.submit(patch)

    fun snapshot(): Boolean = writer.check()
}

/** Returns a patch that sets the move weight, which is valid against every configuration. */
fun patch(
    identifier: String,
    madeAgainst: Long,
    json: String = """{"objective":{"moveWeight":2.0}}""",
): ConfigurationPatch =
    ConfigurationPatch(
        PatchIdentifier(identifier),
        ConfigurationVersion(madeAgainst),
        Json.parseToJsonElement(json) as JsonObject,
        "operator",
    )
