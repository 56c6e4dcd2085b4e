package plantainturn.request.quarantine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.apache.logging.log4j.LogManager
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps requests that crash their upstreams from crashing more of them.
 *
 * A fingerprint whose attempt broke off at an upstream is a suspect until an attempt succeeds or the suspicion expires.
 * A suspect may put only a bounded number of upstream runs at risk: those where it broke off and those where it is in
 * flight count. It is quarantined when it breaks off at a second upstream, both breaks are confirmed as crashes, and
 * few other suspects were in flight there. Breaks during an outage of several upstreams that did not run it count for
 * less.
 *
 * Breaks at [MAXIMUM_BREAKS] runs quarantine it whatever the cause; only runs that gave a sign of life afterwards do
 * not count. Neither an end that does not show yet nor breaks of other requests excuse more than that.
 *
 * Safe for use by several threads; the probe is called outside the lock.
 */
public class QuarantineRegister(
    private val timer: TimerService,
    private val settings: QuarantineSettings = QuarantineSettings(),
) : QuarantineExchange {
    private class InFlightAttempts(
        val run: CrashEvidence,
        var count: Int,
    )

    private val logger = LogManager.getLogger("quarantine")
    private val lock = ReentrantLock()
    private val cases = LinkedHashMap<RequestFingerprint, SuspectCase>()
    private val inFlight = HashMap<UpstreamName, HashMap<RequestFingerprint, InFlightAttempts>>()
    private val listeners = CopyOnWriteArrayList<() -> Unit>()
    private val episodes = CrashEpisodes(settings.episodeDuration)

    /** Returns whether [fingerprint] is quarantined, so that requests with it are not run. */
    public fun isQuarantined(fingerprint: RequestFingerprint): Boolean =
        lock.withLock { activeCaseOf(fingerprint)?.quarantined ?: false }

    /**
     * Returns whether a request with [fingerprint] may not be sent anywhere now.
     *
     * Either it is quarantined, or as a suspect it has put [MAXIMUM_BREAKS] runs at risk.
     */
    public fun isBlocked(fingerprint: RequestFingerprint): Boolean =
        lock.withLock {
            val case = activeCaseOf(fingerprint) ?: return false
            case.quarantined || atRisk(fingerprint, case.breaks).size >= MAXIMUM_BREAKS
        }

    /**
     * Returns whether a request with [fingerprint] broke off at an upstream before.
     *
     * Its next attempt should only be made at an upstream that answers a probe right before, so that an earlier crash
     * of that upstream is not attributed to the request.
     */
    public fun isSuspect(fingerprint: RequestFingerprint): Boolean =
        lock.withLock { activeCaseOf(fingerprint)?.crashes?.isNotEmpty() ?: false }

    /** Returns the runs of upstreams at which a request with [fingerprint] broke off. */
    public fun breaksOf(fingerprint: RequestFingerprint): List<CrashEvidence> =
        lock.withLock { activeCaseOf(fingerprint)?.breaks.orEmpty() }

    /**
     * Returns the upstreams where suspects are in flight; empty if [fingerprint] is not a suspect itself.
     *
     * A suspect should avoid them, so that a crash can be attributed to one fingerprint.
     */
    public fun upstreamsToAvoid(fingerprint: RequestFingerprint): PersistentSet<UpstreamName> =
        lock.withLock {
            if (activeCaseOf(fingerprint) == null) return persistentSetOf()
            inFlight.filterValues { running -> running.keys.any { activeCaseOf(it) != null } }.keys.toPersistentSet()
        }

    /**
     * Returns the upstreams to which a suspect with [fingerprint] is confined; empty if it is not confined.
     *
     * It is confined once it may put no further run at risk.
     */
    public fun confinementOf(fingerprint: RequestFingerprint): PersistentSet<UpstreamName> =
        lock.withLock {
            val case = activeCaseOf(fingerprint) ?: return persistentSetOf()
            val atRisk = atRisk(fingerprint, case.crashes)
            if (atRisk.size < settings.maximumAtRisk) {
                persistentSetOf()
            } else {
                atRisk.map { it.upstream }.toPersistentSet()
            }
        }

    /**
     * Records an attempt at [upstream] and returns true, or returns false if the attempt must not be made.
     *
     * Each attempt that was permitted must be followed by one call of [succeeded], [ended] or [broke].
     *
     * @param incarnation the run of the upstream, null if it is not known
     */
    public fun tryBegin(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
        incarnation: String? = null,
    ): Boolean =
        lock.withLock {
            val run = CrashEvidence(upstream, incarnation)
            if (!mayBegin(fingerprint, run)) return false
            inFlight.getOrPut(upstream) { HashMap() }.getOrPut(fingerprint) { InFlightAttempts(run, count = 0) }.count++
            true
        }

    /** Records the end of an attempt that says nothing about the fingerprint, such as a refused or stopped one. */
    public fun ended(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ): Unit = lock.withLock { removeInFlight(fingerprint, upstream) }

    /** Records the end of an attempt with a whole answer, which clears the fingerprint of suspicion. */
    public fun succeeded(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ): Unit =
        lock.withLock {
            removeInFlight(fingerprint, upstream)
            if (activeCaseOf(fingerprint)?.quarantined == false) cases.remove(fingerprint)
        }

    /**
     * Records that an attempt broke off and returns whether the fingerprint is quarantined now.
     *
     * May block in [probe].
     */
    public fun broke(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
        probe: CrashProbe,
    ): Boolean {
        val breaks = lock.withLock { recordBreak(fingerprint, evidence) }
        if (breaks.size < QUARANTINE_CRASHES) return isQuarantined(fingerprint)
        val verdicts = breaks.groupBy(probe::verdictOf)
        val quarantined = lock.withLock { decide(fingerprint, evidence.upstream, verdicts) }
        logger.info("fingerprint={} event=crash-verdict quarantined={} {}", fingerprint, quarantined, verdicts)
        if (quarantined) listeners.forEach { it() }
        return quarantined
    }

    /** Withdraws the break of [fingerprint] at the run of [evidence], which gave a sign of life afterwards. */
    public fun survived(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    ): Unit =
        lock.withLock {
            val case = activeCaseOf(fingerprint)
            if (case == null || case.quarantined) return
            val rest = case.without(listOf(evidence))
            if (rest.breaks.isEmpty()) cases.remove(fingerprint) else cases[fingerprint] = rest
        }

    override fun subscribe(listener: () -> Unit) {
        listeners += listener
    }

    override fun snapshot(): PersistentList<QuarantineEntry> =
        lock.withLock {
            val now = timer.now()
            removeExpired(now)
            cases.entries
                .reversed()
                .sortedByDescending { it.value.quarantined }
                .take(MAXIMUM_SNAPSHOT_ENTRIES)
                .map { (fingerprint, case) -> entryOf(fingerprint, case, now) }
                .toPersistentList()
        }

    override fun merge(entries: List<QuarantineEntry>): Unit =
        lock.withLock {
            entries.take(MAXIMUM_SNAPSHOT_ENTRIES).forEach(::mergeEntry)
        }

    private fun mayBegin(
        fingerprint: RequestFingerprint,
        run: CrashEvidence,
    ): Boolean {
        val case = activeCaseOf(fingerprint) ?: return true
        if (case.quarantined) return false
        return atRisk(fingerprint, case.crashes, run).size <= settings.maximumAtRisk &&
            atRisk(fingerprint, case.breaks, run).size <= MAXIMUM_BREAKS
    }

    /** Returns [broken] and the runs where [fingerprint] is in flight, together with [next] if it is given. */
    private fun atRisk(
        fingerprint: RequestFingerprint,
        broken: List<CrashEvidence>,
        next: CrashEvidence? = null,
    ): List<CrashEvidence> {
        val running = inFlight.values.mapNotNull { it[fingerprint]?.run }
        return (running + listOfNotNull(next)).fold(broken) { known, run -> known.plusRun(run) }
    }

    private fun List<CrashEvidence>.plusRun(run: CrashEvidence): List<CrashEvidence> =
        if (any(run::isSameRun)) this else this + run

    private fun recordBreak(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    ): List<CrashEvidence> {
        val now = timer.now()
        episodes.current(evidence.upstream, now) { beginEpisode(evidence.upstream, now) }
        removeInFlight(fingerprint, evidence.upstream)
        val known = activeCaseOf(fingerprint) ?: SuspectCase(until = now)
        val outage = episodes.breaksWithout(fingerprint, evidence.upstream) >= settings.outageUpstreams
        logger.info("fingerprint={} event=broke {} known={} outage={}", fingerprint, evidence, known.breaks, outage)
        if (known.breaks.any(evidence::isSameRun)) return known.breaks
        val until = maxOf(known.until, now + settings.suspicionDuration)
        val case =
            if (outage) {
                known.copy(excused = known.excused.add(evidence), until = until)
            } else {
                known.copy(crashes = known.crashes.add(evidence), until = until)
            }
        put(fingerprint, case)
        return case.breaks
    }

    private fun beginEpisode(
        upstream: UpstreamName,
        now: Moment,
    ): CrashEpisodes.Episode {
        val running = inFlight[upstream]?.keys.orEmpty().toSet()
        return CrashEpisodes.Episode(upstream, now, running, running.filterTo(HashSet()) { activeCaseOf(it) != null })
    }

    private fun decide(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
        verdicts: Map<CrashVerdict, List<CrashEvidence>>,
    ): Boolean {
        val known = activeCaseOf(fingerprint) ?: return false
        if (known.quarantined) return true
        val now = timer.now()
        val confirmed = verdicts[CrashVerdict.CONFIRMED].orEmpty()
        val case = known.without(verdicts[CrashVerdict.SURVIVED].orEmpty())
        val coSuspects = episodes.current(upstream, now) { beginEpisode(upstream, now) }.suspects.size
        val attributed =
            case.crashes.count { it in confirmed } >= QUARANTINE_CRASHES && coSuspects <= settings.maximumCoSuspects
        val quarantined = attributed || case.breaks.size >= MAXIMUM_BREAKS
        put(fingerprint, case.copy(quarantined = quarantined, until = now + durationOf(quarantined)))
        return quarantined
    }

    private fun durationOf(quarantined: Boolean): Duration =
        if (quarantined) settings.quarantineDuration else settings.suspicionDuration

    private fun mergeEntry(entry: QuarantineEntry) {
        val now = timer.now()
        val known = activeCaseOf(entry.fingerprint)
        val remaining = entry.remainingMilliseconds.milliseconds.coerceAtMost(durationOf(entry.quarantined))
        if (!remaining.isPositive() || known?.quarantined == true) return
        val before = known ?: SuspectCase(until = now)
        val crashes = entry.crashes.filter { crash -> before.breaks.none(crash::isSameRun) }
        val excused = entry.excused.filter { crash -> (before.breaks + crashes).none(crash::isSameRun) }
        val isNews = crashes.isNotEmpty() || excused.isNotEmpty() || entry.quarantined
        if (known != null && !isNews) return
        val all =
            before.copy(crashes = before.crashes.addAll(crashes), excused = before.excused.addAll(excused))
        val bounded = all.breaks.size >= MAXIMUM_BREAKS
        val until = if (bounded) now + settings.quarantineDuration else maxOf(before.until, now + remaining)
        put(entry.fingerprint, all.copy(quarantined = entry.quarantined || bounded, until = until))
    }

    private fun removeInFlight(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ) {
        val running = inFlight[upstream] ?: return
        running[fingerprint]?.let { if (--it.count == 0) running.remove(fingerprint) }
        if (running.isEmpty()) inFlight.remove(upstream)
    }

    private fun activeCaseOf(fingerprint: RequestFingerprint): SuspectCase? {
        val case = cases[fingerprint] ?: return null
        return case.takeIf { it.until > timer.now() }
    }

    private fun put(
        fingerprint: RequestFingerprint,
        case: SuspectCase,
    ) {
        cases.remove(fingerprint)
        cases[fingerprint] = case
        if (cases.size > settings.capacity) removeExpired(timer.now())
        if (cases.size > settings.capacity) evictOldest()
    }

    private fun evictOldest() {
        val oldest = cases.entries.firstOrNull { !it.value.quarantined } ?: cases.entries.first()
        cases.remove(oldest.key)
    }

    private fun removeExpired(now: Moment) {
        cases.values.removeIf { it.until <= now }
    }

    private fun entryOf(
        fingerprint: RequestFingerprint,
        case: SuspectCase,
        now: Moment,
    ): QuarantineEntry =
        QuarantineEntry(
            fingerprint,
            case.crashes,
            case.quarantined,
            (case.until - now).inWholeMilliseconds,
            case.excused,
        )

    public companion object {
        /** Runs at which a request may break off, for whatever cause, before it is quarantined. */
        public const val MAXIMUM_BREAKS: Int = 3
        private const val QUARANTINE_CRASHES = 2
        private const val MAXIMUM_SNAPSHOT_ENTRIES = 64
    }
}
