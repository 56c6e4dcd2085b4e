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
 * A fingerprint whose attempt broke off at an upstream is a suspect until an attempt succeeds or time passes. A suspect
 * puts a bounded number of runs of upstreams at risk: those where it broke and those where it is in flight count.
 * When it breaks at a second upstream, both breaks are confirmed as crashes, and few others were there with the same
 * evidence against them, it is quarantined. Breaks in an outage of several upstreams that did not run it count for
 * less.
 *
 * Whatever explains them, breaks at [MAXIMUM_BREAKS] runs quarantine it: only a run that was heard from afterwards does
 * not count. That an end does not show yet, and that other requests broke too, excuses no more than that.
 *
 * Safe for use by several threads; the probe is called outside the lock.
 */
public class QuarantineRegister(
    private val timer: TimerService,
    private val settings: QuarantineSettings = QuarantineSettings(),
) : QuarantineExchange {
    private class Running(
        val run: CrashEvidence,
        var count: Int,
    )

    private val logger = LogManager.getLogger("quarantine")
    private val lock = ReentrantLock()
    private val cases = LinkedHashMap<RequestFingerprint, SuspectCase>()
    private val inFlight = HashMap<UpstreamName, HashMap<RequestFingerprint, Running>>()
    private val listeners = CopyOnWriteArrayList<() -> Unit>()
    private val episodes = CrashEpisodes(settings.episodeDuration)

    /** Returns whether requests with [fingerprint] are not run. */
    public fun isQuarantined(fingerprint: RequestFingerprint): Boolean =
        lock.withLock { caseOf(fingerprint)?.quarantined ?: false }

    /** Returns whether a request with [fingerprint] may be sent nowhere now, be it quarantined or only suspected. */
    public fun isBlocked(fingerprint: RequestFingerprint): Boolean =
        lock.withLock {
            val case = caseOf(fingerprint) ?: return false
            case.quarantined || atRisk(fingerprint, case.breaks).size >= MAXIMUM_BREAKS
        }

    /**
     * Returns whether a request with [fingerprint] broke off at an upstream before.
     *
     * Its next attempt should only be made where the upstream answers right before, so that a crash that came earlier
     * is not held against it.
     */
    public fun isSuspect(fingerprint: RequestFingerprint): Boolean =
        lock.withLock { caseOf(fingerprint)?.crashes?.isNotEmpty() ?: false }

    /** Returns the runs of upstreams at which a request with [fingerprint] broke off. */
    public fun breaksOf(fingerprint: RequestFingerprint): List<CrashEvidence> =
        lock.withLock { caseOf(fingerprint)?.breaks.orEmpty() }

    /** Returns upstreams that a request with [fingerprint] had better avoid, so that blame stays narrow. */
    public fun upstreamsToAvoid(fingerprint: RequestFingerprint): PersistentSet<UpstreamName> =
        lock.withLock {
            if (caseOf(fingerprint) == null) return persistentSetOf()
            inFlight.filterValues { running -> running.keys.any { caseOf(it) != null } }.keys.toPersistentSet()
        }

    /**
     * Returns the upstreams to which a suspect with [fingerprint] is confined, because no further one may be put at
     * risk; empty if it is not confined.
     */
    public fun confinementOf(fingerprint: RequestFingerprint): PersistentSet<UpstreamName> =
        lock.withLock {
            val case = caseOf(fingerprint) ?: return persistentSetOf()
            val atRisk = atRisk(fingerprint, case.crashes)
            if (atRisk.size < settings.maximumAtRisk) {
                persistentSetOf()
            } else {
                atRisk.map { it.upstream }.toPersistentSet()
            }
        }

    /**
     * Counts an attempt at [upstream] and returns true, or returns false if it must not be made.
     *
     * Each true needs one [succeeded], [ended] or [broke].
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
            inFlight.getOrPut(upstream) { HashMap() }.getOrPut(fingerprint) { Running(run, count = 0) }.count++
            true
        }

    /** Ends an attempt that says nothing about the fingerprint, such as one that was refused or stopped. */
    public fun ended(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ): Unit = lock.withLock { leave(fingerprint, upstream) }

    /** Ends an attempt that gave a whole answer, which clears the fingerprint of suspicion. */
    public fun succeeded(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ): Unit =
        lock.withLock {
            leave(fingerprint, upstream)
            if (caseOf(fingerprint)?.quarantined == false) cases.remove(fingerprint)
        }

    /** Ends an attempt that broke off, and returns whether the fingerprint is quarantined now. May block in [probe]. */
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

    /** Takes back that the fingerprint broke at the run of [evidence], which was heard from afterwards. */
    public fun survived(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    ): Unit =
        lock.withLock {
            val case = caseOf(fingerprint)
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
            forgetExpired(now)
            cases.entries
                .reversed()
                .sortedByDescending { it.value.quarantined }
                .take(MAXIMUM_SHARED)
                .map { (fingerprint, case) -> entryOf(fingerprint, case, now) }
                .toPersistentList()
        }

    override fun merge(entries: List<QuarantineEntry>): Unit =
        lock.withLock {
            entries.take(MAXIMUM_SHARED).forEach(::mergeEntry)
        }

    private fun mayBegin(
        fingerprint: RequestFingerprint,
        run: CrashEvidence,
    ): Boolean {
        val case = caseOf(fingerprint) ?: return true
        if (case.quarantined) return false
        return atRisk(fingerprint, case.crashes, run).size <= settings.maximumAtRisk &&
            atRisk(fingerprint, case.breaks, run).size <= MAXIMUM_BREAKS
    }

    /** Returns [broken] and the runs where [fingerprint] is in flight, or is about to be. */
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
        leave(fingerprint, evidence.upstream)
        val known = caseOf(fingerprint) ?: SuspectCase(until = now)
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
        return CrashEpisodes.Episode(upstream, now, running, running.filterTo(HashSet()) { caseOf(it) != null })
    }

    private fun decide(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
        verdicts: Map<CrashVerdict, List<CrashEvidence>>,
    ): Boolean {
        val known = caseOf(fingerprint) ?: return false
        if (known.quarantined) return true
        val now = timer.now()
        val confirmed = verdicts[CrashVerdict.CONFIRMED].orEmpty()
        val case = known.without(verdicts[CrashVerdict.SURVIVED].orEmpty())
        val rivals = episodes.current(upstream, now) { beginEpisode(upstream, now) }.suspects.size
        val blamed = case.crashes.count { it in confirmed } >= QUARANTINE_CRASHES && rivals <= settings.maximumRivals
        val quarantined = blamed || case.breaks.size >= MAXIMUM_BREAKS
        put(fingerprint, case.copy(quarantined = quarantined, until = now + durationOf(quarantined)))
        return quarantined
    }

    private fun durationOf(quarantined: Boolean): Duration =
        if (quarantined) settings.quarantineDuration else settings.suspicionDuration

    private fun mergeEntry(entry: QuarantineEntry) {
        val now = timer.now()
        val known = caseOf(entry.fingerprint)
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

    private fun leave(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ) {
        val running = inFlight[upstream] ?: return
        running[fingerprint]?.let { if (--it.count == 0) running.remove(fingerprint) }
        if (running.isEmpty()) inFlight.remove(upstream)
    }

    private fun caseOf(fingerprint: RequestFingerprint): SuspectCase? {
        val case = cases[fingerprint] ?: return null
        return case.takeIf { it.until > timer.now() }
    }

    private fun put(
        fingerprint: RequestFingerprint,
        case: SuspectCase,
    ) {
        cases.remove(fingerprint)
        cases[fingerprint] = case
        if (cases.size > settings.capacity) forgetExpired(timer.now())
        if (cases.size > settings.capacity) forgetOldest()
    }

    private fun forgetOldest() {
        val oldest = cases.entries.firstOrNull { !it.value.quarantined } ?: cases.entries.first()
        cases.remove(oldest.key)
    }

    private fun forgetExpired(now: Moment) {
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
        /** Runs of upstreams at which a request may break off, whatever explains it, before it is quarantined. */
        public const val MAXIMUM_BREAKS: Int = 3
        private const val QUARANTINE_CRASHES = 2
        private const val MAXIMUM_SHARED = 64
    }
}
