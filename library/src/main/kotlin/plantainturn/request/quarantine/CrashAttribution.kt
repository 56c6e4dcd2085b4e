package plantainturn.request.quarantine

import org.apache.logging.log4j.LogManager
import plantainturn.process.time.TimerService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Attributes crashes of upstream runs to traits of the requests that ran there, and blocks requests with such traits.
 *
 * A trait is the request as a whole, or a part of its prompt that other requests may share. A break is evidence against
 * all traits of its request; a whole answer speaks for all of them, since what crashes upstreams is not answered.
 * - The request as a whole is blocked after breaks at [MAXIMUM_BREAKS] runs. A part that was never answered is too, if
 *   they are breaks of several requests.
 * - A part that was answered before is blocked after more breaks, at different times and with no answer in between.
 *   Such parts mostly break off beside the one to blame, or in an outage.
 * - Breaks at runs where a blocked trait broke off too count against no other trait.
 *
 * A part that was never answered, and any request as a whole, may put only [MAXIMUM_BREAKS] runs at risk at a time once
 * it broke off. A blocked trait is tried again after a while, by one request of one node, so that a wrong attribution
 * ends: a part ever again, a request up to [MAXIMUM_REQUEST_TRIALS] times if it was answered before, otherwise once.
 *
 * Confined to one thread. Does no input or output: the caller shares breaks, answers and trials with the other nodes.
 */
public class CrashAttribution(
    private val timer: TimerService,
    private val settings: CrashAttributionSettings = CrashAttributionSettings(),
) {
    private val logger = LogManager.getLogger("quarantine")
    private val cases = LinkedHashMap<RequestFingerprint, TraitCase>()
    private val blockedCases = LinkedHashSet<RequestFingerprint>()
    private val answeredParts = LinkedHashSet<RequestFingerprint>()
    private val answeredRequests = LinkedHashSet<RequestFingerprint>()
    private val inFlight = HashMap<RequestFingerprint, HashMap<CrashEvidence, Int>>()

    /** The traits that are blocked, each with the time until which it is if it isn't cleared before. */
    public val blocked: Map<RequestFingerprint, Duration>
        get() {
            val now = timer.now()
            return blockedCases
                .associateWith { (cases.getValue(it).blockedUntil ?: now) - now }
                .filterValues { it.isPositive() }
        }

    /** Returns those of [traits] that are blocked, leaving out those for which this node has claimed a trial. */
    public fun blockedTraitsOf(traits: RequestTraits): List<RequestFingerprint> =
        traits.all.filter { isBlocked(it) && !mayTry(it) }

    /** Returns whether a request with [traits] may not be sent anywhere now. */
    public fun isBlocked(traits: RequestTraits): Boolean =
        blockedTraitsOf(traits).isNotEmpty() || traits.all.any { !mayTry(it) && atRisk(it, null) >= MAXIMUM_BREAKS }

    /** Returns the breaks that count against the request as a whole. */
    public fun breaksOf(request: RequestFingerprint): List<CrashEvidence> =
        cases[request]?.breaks(timer.now()).orEmpty().map { it.evidence }

    /** Returns whether there is any evidence against [trait]. */
    public fun hasCase(trait: RequestFingerprint): Boolean = trait in cases

    /** Returns whether [part] is known to have been answered. */
    public fun isAnswered(part: RequestFingerprint): Boolean = part in answeredParts

    /** Returns those of [traits] that are known to have been answered. */
    public fun answeredOf(traits: RequestTraits): Set<RequestFingerprint> =
        traits.parts.filterTo(LinkedHashSet(), ::isAnswered).apply {
            if (traits.request in answeredRequests) add(traits.request)
        }

    /** Returns whether [noticed] counts against any of its traits. */
    public fun counts(noticed: RequestBreak): Boolean =
        noticed.traits.all.any { trait ->
            cases[trait]?.breaks(timer.now()).orEmpty().any { it.isSame(noticed) }
        }

    /**
     * Records that a request with [traits] is sent to [run] and returns true, or returns false if it must not be.
     *
     * Each permitted send must be followed by one call of [ended] or [notSent].
     */
    public fun tryBegin(
        traits: RequestTraits,
        run: CrashEvidence,
    ): Boolean {
        if (blockedTraitsOf(traits).isNotEmpty()) return false
        val (tried, others) = traits.all.partition { isBlocked(it) }
        if (others.any { atRisk(it, run) > MAXIMUM_BREAKS }) return false
        tried.forEach { cases.getValue(it).useGrant(run) }
        traits.all.forEach { inFlight.getOrPut(it) { HashMap() }.merge(run, 1, Int::plus) }
        return true
    }

    /** Records the end of a send, whatever became of it. */
    public fun ended(
        traits: RequestTraits,
        run: CrashEvidence,
    ) {
        for (trait in traits.all) {
            val runs = inFlight[trait] ?: continue
            runs.computeIfPresent(run) { _, count -> (count - 1).takeIf { it > 0 } }
            if (runs.isEmpty()) inFlight.remove(trait)
        }
    }

    /** Records the end of a send to [run] that never reached it. A trial that it was to make may still be made. */
    public fun notSent(
        traits: RequestTraits,
        run: CrashEvidence,
    ) {
        ended(traits, run)
        traits.all.forEach { cases[it]?.returnGrant(run) }
    }

    /**
     * Adds a break that this node or another one noticed, [age] ago.
     *
     * Returns whether it still counts and was not known before, or not as evidence against all of its traits.
     *
     * @param shared whether the other nodes are told of it
     */
    public fun onBreak(
        added: RequestBreak,
        age: Duration = Duration.ZERO,
        shared: Boolean = true,
    ): Boolean {
        val now = timer.now()
        val until = now + settings.suspicionDuration - age
        if (shared) onShared(added)
        val news = added.traits.all.filterNot { cases[it]?.knows(added, now) ?: false }
        if (until <= now || news.isEmpty()) return false
        added.answered.forEach { rememberAnswered(it, isRequest = it == added.traits.request) }
        for (trait in news) {
            val case = cases.remove(trait) ?: TraitCase(isRequest = trait == added.traits.request)
            cases[trait] = case
            case.add(added, until, shared)
            if (isBlocked(trait)) case.blockedUntil = now + settings.quarantineDuration
        }
        attribute(added.traits)
        evict()
        return true
    }

    /** Records that the other nodes are told of [noticed]. */
    public fun onShared(noticed: RequestBreak): Unit = noticed.traits.all.forEach { cases[it]?.share(noticed) }

    /** Blocks those of [traits] that have too many breaks now. */
    private fun attribute(traits: RequestTraits) {
        val excessive = traits.all.filter { !isBlocked(it) && isExcessive(it, traits.request) }
        excessive.filter { !isAnswered(it) }.ifEmpty { excessive }.forEach(::block)
    }

    /** Withdraws the break of the request with [traits] at the run of [evidence], which lived on. */
    public fun onSurvived(
        traits: RequestTraits,
        evidence: CrashEvidence,
    ) {
        val now = timer.now()
        for (trait in traits.all) {
            val case = cases[trait]?.takeIf { it.withdraw(traits.request, evidence) } ?: continue
            val left = case.breaks(now)
            when {
                case.isEmpty(now) -> drop(trait)
                left.isEmpty() || case.isRequest && distinctRuns(left).size < MAXIMUM_BREAKS -> unblock(trait, case)
            }
        }
    }

    /**
     * Records a whole answer to a request with [traits].
     *
     * Returns the traits whose answer the other nodes, and those that start later, should hear of, because they may
     * block them otherwise. The breaks of all other traits no longer count on this node.
     */
    public fun onAnswer(traits: RequestTraits): List<RequestFingerprint> =
        traits.all.filter { trait ->
            val isRequest = trait == traits.request
            val runs = distinctRuns(cases[trait]?.shared(timer.now()).orEmpty()).size
            val worthTelling = isBlocked(trait) || runs >= if (isRequest) 1 else BREAKS_WORTH_TELLING
            if (worthTelling) {
                onAnswered(trait, isRequest)
            } else {
                rememberAnswered(trait, isRequest)
                cases[trait]?.contradict()
            }
            worthTelling
        }

    /**
     * Records that all nodes are told that a request with [part] got a whole answer.
     *
     * If the part was blocked, its breaks are attributed to other traits of their requests.
     */
    public fun onPartAnswered(part: RequestFingerprint): Unit = onAnswered(part, isRequest = false)

    /** Records that all nodes are told that [request] got a whole answer, as for a part of a prompt. */
    public fun onRequestAnswered(request: RequestFingerprint): Unit = onAnswered(request, isRequest = true)

    private fun onAnswered(
        trait: RequestFingerprint,
        isRequest: Boolean,
    ) {
        rememberAnswered(trait, isRequest)
        val case = cases[trait] ?: return
        val wasBlocked = case.blockedUntil != null
        unblock(trait, case)
        drop(trait)
        if (wasBlocked) case.breaks(timer.now()).forEach { attribute(it.traits) }
    }

    private fun unblock(
        trait: RequestFingerprint,
        case: TraitCase,
    ) {
        if (case.blockedUntil == null) return
        logger.info("fingerprint={} event=unblocked trials={}", trait, case.trials)
        case.blockedUntil = null
        blockedCases -= trait
    }

    /** Returns the blocked ones of [traits] if a trial of a request with them is due, otherwise an empty list. */
    public fun trialsDue(traits: RequestTraits): List<RequestFingerprint> {
        val blocked = blockedTraitsOf(traits)
        val suspects = traits.parts.count { isBlocked(it) || !isAnswered(it) && hasBreaks(it) }
        val delay = if (suspects > 1) settings.mixedTrialDelay else Duration.ZERO
        val due = blocked.all { mayBeTried(it) && cases.getValue(it).trialAt + delay <= timer.now() }
        return if (due) blocked else emptyList()
    }

    /** Returns whether a trial of [trait] is left; each one of a request that crashes upstreams ends another run. */
    private fun mayBeTried(trait: RequestFingerprint): Boolean {
        val case = cases.getValue(trait)
        return !case.isRequest || case.trials < if (trait in answeredRequests) MAXIMUM_REQUEST_TRIALS else 1
    }

    /** Returns the number that the next trial of [trait] has. */
    public fun nextTrialOf(trait: RequestFingerprint): Int = (cases[trait]?.trials ?: 0) + 1

    /**
     * Records that a node claimed the trial [number] of [trait].
     *
     * @param own whether it is this node, which may send one request with the trait now
     */
    public fun onTrialClaimed(
        trait: RequestFingerprint,
        number: Int,
        own: Boolean,
    ) {
        val case = cases[trait]?.takeIf { isBlocked(trait) } ?: return
        val now = timer.now()
        if (own) case.grantedUntil = now + TRIAL_DURATION
        if (number <= case.trials) return
        case.trials = number
        case.trialAt = now + laterTrialDelay(number)
        case.blockedUntil = now + maxOf(settings.quarantineDuration, laterTrialDelay(number) * 2)
        logger.info("fingerprint={} event=trial number={} own={} next={}", trait, number, own, laterTrialDelay(number))
    }

    private fun hasBreaks(trait: RequestFingerprint): Boolean = cases[trait]?.breaks(timer.now())?.isNotEmpty() ?: false

    private fun firstTrialDelay(trait: RequestFingerprint): Duration {
        val neverAnswered = cases.getValue(trait).isRequest && trait !in answeredRequests
        return if (neverAnswered) settings.laterTrialDelay else settings.firstTrialDelay
    }

    private fun laterTrialDelay(trials: Int): Duration {
        var delay = settings.laterTrialDelay
        repeat(minOf(trials - 1, MOST_EXTENSIONS)) { delay *= settings.trialBackoff }
        return delay
    }

    private fun isBlocked(trait: RequestFingerprint): Boolean =
        cases[trait]?.blockedUntil?.let { it > timer.now() } ?: false

    private fun mayTry(trait: RequestFingerprint): Boolean =
        cases[trait]?.grantedUntil?.let { it > timer.now() } ?: false

    private fun block(trait: RequestFingerprint) {
        val now = timer.now()
        val case = cases.getValue(trait)
        blockedCases += trait
        case.blockedUntil = now + settings.quarantineDuration
        case.trials = 0
        case.trialAt = now + firstTrialDelay(trait)
        val runs = distinctRuns(case.breaks(now))
        val wasAnswered = trait in if (case.isRequest) answeredRequests else answeredParts
        logger.info("fingerprint={} event=blocked answered={} breaks={}", trait, wasAnswered, runs)
    }

    /** Returns whether [trait] has too many breaks that nothing else explains, the latest one of [request]. */
    private fun isExcessive(
        trait: RequestFingerprint,
        request: RequestFingerprint,
    ): Boolean {
        val breaks = unexplained(trait)
        return when {
            trait == request -> distinctRuns(breaks).size >= MAXIMUM_BREAKS
            breaks.distinctBy { it.traits.request }.size < LEAST_REQUESTS -> false
            isAnswered(trait) -> separateBreaks(breaks) >= settings.answeredBreaks
            else -> distinctRuns(breaks).size >= MAXIMUM_BREAKS
        }
    }

    /** Returns the breaks of [trait] at runs where no other trait broke off that is blocked. */
    private fun unexplained(trait: RequestFingerprint): List<RequestBreak> {
        val now = timer.now()
        val breaks = cases[trait]?.breaks(now).orEmpty()
        if (breaks.isEmpty()) return breaks
        val explained =
            blockedCases
                .filter { it != trait && isBlocked(it) }
                .flatMap { other -> cases.getValue(other).breaks(now).map { it.evidence } }
        return breaks.filter { unexplained -> explained.none(unexplained.evidence::isSameRun) }
    }

    /** Returns how many runs [trait] puts at risk: those where it broke off or is in flight, and [next] if given. */
    private fun atRisk(
        trait: RequestFingerprint,
        next: CrashEvidence?,
    ): Int {
        if (isAnswered(trait) || trait !in cases) return 0
        val broken = unexplained(trait).map { it.evidence }
        if (broken.isEmpty()) return 0
        return (inFlight[trait]?.keys.orEmpty() + listOfNotNull(next))
            .fold(broken.distinct()) { runs, run ->
                if (runs.any(run::isSameRun)) runs else runs + run
            }.size
    }

    private fun distinctRuns(breaks: List<RequestBreak>): List<CrashEvidence> =
        breaks.map { it.evidence }.fold(emptyList()) { runs, run ->
            if (runs.any(run::isSameRun)) runs else runs + run
        }

    private fun separateBreaks(breaks: List<RequestBreak>): Int {
        var count = 0
        var last = Long.MIN_VALUE
        for (next in breaks.distinctBy { it.evidence }.sortedBy { it.at }) {
            if (count > 0 && next.at - last < settings.answeredSpacing.inWholeMilliseconds) continue
            count++
            last = next.at
        }
        return count
    }

    private fun rememberAnswered(
        trait: RequestFingerprint,
        isRequest: Boolean,
    ) {
        val answered = if (isRequest) answeredRequests else answeredParts
        answered.remove(trait)
        answered.add(trait)
        if (answered.size > settings.answeredCapacity) answered.remove(answered.first())
    }

    private fun drop(trait: RequestFingerprint): TraitCase? {
        blockedCases -= trait
        return cases.remove(trait)
    }

    private fun evict() {
        if (cases.size <= settings.capacity) return
        cases.keys.filter { !isBlocked(it) && cases.getValue(it).isEmpty(timer.now()) }.forEach(::drop)
        while (cases.size > settings.capacity) drop(cases.keys.firstOrNull { !isBlocked(it) } ?: cases.keys.first())
    }

    public companion object {
        /** Runs at which a request or a part of it may break off, for whatever cause, before it is blocked. */
        public const val MAXIMUM_BREAKS: Int = 3

        /** Breaks of one request alone are attributed to that request and not to its parts. */
        private const val LEAST_REQUESTS = 2

        /** The platform allows a request three sends after it has crashed its third upstream. */
        private const val MAXIMUM_REQUEST_TRIALS = 3

        /** With one break fewer, no node is close to blocking the part. */
        private const val BREAKS_WORTH_TELLING = 2

        private const val MOST_EXTENSIONS = 6

        /** How long a node may wait for a request with which to make the trial that it claimed. */
        private val TRIAL_DURATION = 10.seconds
    }
}
