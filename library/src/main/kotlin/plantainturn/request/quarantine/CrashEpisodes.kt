package plantainturn.request.quarantine

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration

/** Groups recent breaks by upstream into episodes. Not thread-safe. */
internal class CrashEpisodes(
    private val duration: Duration,
) {
    /**
     * Breaks of one upstream at about the same time.
     *
     * @property inFlight fingerprints that were in flight there when the episode began
     * @property suspects those of [inFlight] that were already suspect
     */
    class Episode(
        val upstream: UpstreamName,
        val startedAt: Moment,
        val inFlight: Set<RequestFingerprint>,
        val suspects: Set<RequestFingerprint>,
    )

    private val episodes = LinkedHashMap<UpstreamName, Episode>()

    /** Returns the ongoing episode of [upstream], or starts the one that [begin] creates. */
    fun current(
        upstream: UpstreamName,
        now: Moment,
        begin: () -> Episode,
    ): Episode {
        episodes.values.removeIf { now - it.startedAt > duration }
        return episodes.getOrPut(upstream, begin)
    }

    /** Returns the number of other upstreams that broke at the same time without [fingerprint] in flight. */
    fun breaksWithout(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ): Int = episodes.values.count { it.upstream != upstream && fingerprint !in it.inFlight }
}
