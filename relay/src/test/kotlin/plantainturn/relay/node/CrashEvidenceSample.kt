package plantainturn.relay.node

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.connection.store.ReadPace
import plantainturn.connection.store.TopicFollower
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.request.CrashTracker
import plantainturn.relay.request.SignsOfLife
import plantainturn.request.quarantine.CrashAttribution
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What one node without an issuer knows of crashes, shared through [store].
 *
 * @param skewMilliseconds how far the node's wall clock is ahead
 */
internal class CrashEvidenceSample(
    store: InMemoryRecordStore,
    private val timer: TimerService,
    random: Random = Random(1),
    readPause: Duration = 200.milliseconds,
    skewMilliseconds: () -> Long,
) {
    private val wallClock = { WALL_CLOCK_START + timer.now().nanoseconds / 1_000_000 + skewMilliseconds() }
    val attribution = CrashAttribution(timer, CrashEvidenceTopic.SETTINGS)
    val topic: CrashEvidenceTopic =
        CrashEvidenceTopic(store, attribution, timer, random, { follower.end }, { 1 }, wallClock)
    val follower: TopicFollower =
        TopicFollower(store, CrashEvidenceTopic.NAME, topic, timer) { ReadPace(2.seconds, readPause) }

    fun tracker(signs: SignsOfLife) = CrashTracker(attribution, topic, timer, signs, wallClock)

    private companion object {
        const val WALL_CLOCK_START = 1_000_000_000L
    }
}

/** No instance is ever heard from. */
internal object NoSignsOfLife : SignsOfLife {
    override fun livedSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = false

    override fun answeredSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = false

    override fun heardSince(
        instance: UpstreamInstance,
        moment: Moment,
    ): Boolean = false
}
