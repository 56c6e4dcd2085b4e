package plantainturn.request.quarantine

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** The recent breaks, gathered by upstream into episodes. Not safe for use by several threads. */
internal class CrashEpisodes(
    private val duration: Duration,
) {
    /** A break of one upstream, with what was in flight there when it began. */
    class Episode(
        val upstream: UpstreamName,
        val begun: Moment,
        val inFlight: Set<RequestFingerprint>,
        val suspects: Set<RequestFingerprint>,
    )

    private val episodes = LinkedHashMap<UpstreamName, Episode>()

    /** Returns the episode of [upstream] that is going on, or the one that [begin] makes. */
    fun current(
        upstream: UpstreamName,
        now: Moment,
        begin: () -> Episode,
    ): Episode {
        episodes.values.removeIf { now - it.begun > duration }
        return episodes.getOrPut(upstream, begin)
    }

    /** Returns the number of other upstreams that broke at the same time without [fingerprint]. */
    fun breaksWithout(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ): Int = episodes.values.count { it.upstream != upstream && fingerprint !in it.inFlight }
}
