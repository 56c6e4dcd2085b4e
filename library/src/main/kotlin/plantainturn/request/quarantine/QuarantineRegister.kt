package plantainturn.request.quarantine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
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
 * puts at most two upstreams at risk: those where it broke and those where it is in flight count. When it breaks at a
 * second upstream, both breaks are confirmed as crashes, and few others were there with the same evidence against
 * them, it is quarantined. Breaks in an outage of several upstreams that did not run it are not held against it.
 *
 * Safe for use by several threads; the probe is called outside the lock.
 */
public class QuarantineRegister(
    private val timer: TimerService,
    private val settings: QuarantineSettings = QuarantineSettings(),
) : QuarantineExchange {
    private class Case(
        val crashes: PersistentList<CrashEvidence>,
        val quarantined: Boolean,
        val until: Moment,
    )

    private val logger = LogManager.getLogger("quarantine")
    private val lock = ReentrantLock()
    private val cases = LinkedHashMap<RequestFingerprint, Case>()
    private val inFlight = HashMap<UpstreamName, HashMap<RequestFingerprint, Int>>()
    private val listeners = CopyOnWriteArrayList<() -> Unit>()
    private val episodes = CrashEpisodes(settings.episodeDuration)

    /** Returns whether requests with [fingerprint] are not run. */
    public fun isQuarantined(fingerprint: RequestFingerprint): Boolean =
        lock.withLock { caseOf(fingerprint)?.quarantined ?: false }

    /**
     * Returns whether a request with [fingerprint] broke off at an upstream before.
     *
     * Its next attempt should only be made where the upstream answers right before, so that a crash that came earlier
     * is not held against it.
     */
    public fun isSuspect(fingerprint: RequestFingerprint): Boolean =
        lock.withLock { caseOf(fingerprint)?.crashes?.isNotEmpty() ?: false }

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
            val atRisk = atRisk(fingerprint, case)
            if (atRisk.size < QUARANTINE_CRASHES) persistentSetOf() else atRisk.toPersistentSet()
        }

    /**
     * Counts an attempt at [upstream] and returns true, or returns false if it must not be made.
     *
     * Each true needs one [succeeded], [ended] or [broke].
     */
    public fun tryBegin(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ): Boolean =
        lock.withLock {
            if (!mayBegin(fingerprint, upstream)) return false
            inFlight.getOrPut(upstream) { HashMap() }.merge(fingerprint, 1, Int::plus)
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
        val crashes = lock.withLock { recordBreak(fingerprint, evidence) }
        if (crashes.size < QUARANTINE_CRASHES) return isQuarantined(fingerprint)
        val (confirmed, refuted) = crashes.partition(probe::isConfirmed)
        val quarantined = lock.withLock { decide(fingerprint, evidence.upstream, confirmed, refuted) }
        logger.info(
            "fingerprint={} event=crash-verdict quarantined={} confirmed={} refuted={}",
            fingerprint,
            quarantined,
            confirmed,
            refuted,
        )
        if (quarantined) listeners.forEach { it() }
        return quarantined
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
        upstream: UpstreamName,
    ): Boolean {
        val case = caseOf(fingerprint) ?: return true
        if (case.quarantined) return false
        return (atRisk(fingerprint, case) + upstream).size <= QUARANTINE_CRASHES
    }

    private fun atRisk(
        fingerprint: RequestFingerprint,
        case: Case,
    ): Set<UpstreamName> {
        val running = inFlight.filterValues { fingerprint in it }.keys
        return case.crashes.mapTo(HashSet()) { it.upstream } + running
    }

    private fun recordBreak(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
    ): PersistentList<CrashEvidence> {
        val now = timer.now()
        episodes.current(evidence.upstream, now) { beginEpisode(evidence.upstream, now) }
        leave(fingerprint, evidence.upstream)
        val known = caseOf(fingerprint)?.crashes ?: persistentListOf()
        val outage = episodes.breaksWithout(fingerprint, evidence.upstream) >= settings.outageUpstreams
        logger.info("fingerprint={} event=broke {} known={} outage={}", fingerprint, evidence, known.size, outage)
        if (outage || known.any { it.upstream == evidence.upstream }) return known
        val crashes = known.add(evidence)
        put(fingerprint, Case(crashes, quarantined = false, until = now + settings.suspicionDuration))
        return crashes
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
        confirmed: List<CrashEvidence>,
        refuted: List<CrashEvidence>,
    ): Boolean {
        val case = caseOf(fingerprint) ?: return false
        if (case.quarantined) return true
        val now = timer.now()
        val rivals = episodes.current(upstream, now) { beginEpisode(upstream, now) }.suspects.size
        val quarantined = confirmed.size >= QUARANTINE_CRASHES && rivals <= settings.maximumRivals
        val duration = if (quarantined) settings.quarantineDuration else settings.suspicionDuration
        val crashes = case.crashes.removeAll(refuted)
        put(fingerprint, Case(crashes, quarantined, now + duration))
        return quarantined
    }

    private fun mergeEntry(entry: QuarantineEntry) {
        val now = timer.now()
        val known = caseOf(entry.fingerprint)
        val longest = if (entry.quarantined) settings.quarantineDuration else settings.suspicionDuration
        val remaining = entry.remainingMilliseconds.milliseconds.coerceIn(Duration.ZERO, longest)
        if (!remaining.isPositive() || known?.quarantined == true) return
        val others = entry.crashes.filter { crash -> known?.crashes.orEmpty().none { it.upstream == crash.upstream } }
        val crashes = (known?.crashes.orEmpty() + others).take(QUARANTINE_CRASHES).toPersistentList()
        if (known != null && others.isEmpty() && !entry.quarantined) return
        put(entry.fingerprint, Case(crashes, entry.quarantined, now + remaining))
    }

    private fun leave(
        fingerprint: RequestFingerprint,
        upstream: UpstreamName,
    ) {
        val running = inFlight[upstream] ?: return
        running.computeIfPresent(fingerprint) { _, count -> if (count > 1) count - 1 else null }
        if (running.isEmpty()) inFlight.remove(upstream)
    }

    private fun caseOf(fingerprint: RequestFingerprint): Case? {
        val case = cases[fingerprint] ?: return null
        return case.takeIf { it.until > timer.now() }
    }

    private fun put(
        fingerprint: RequestFingerprint,
        case: Case,
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
        case: Case,
        now: Moment,
    ): QuarantineEntry =
        QuarantineEntry(fingerprint, case.crashes, case.quarantined, (case.until - now).inWholeMilliseconds)

    private companion object {
        const val QUARANTINE_CRASHES = 2
        const val MAXIMUM_SHARED = 64
    }
}
