package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.quarantine.CrashAttribution
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.RequestBreak
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits
import plantainturn.request.relay.ReachState
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks at which instances requests broke off or were answered, and publishes this to the other nodes.
 *
 * A request that crashes instances may come at any node, and so may others that share the part of its prompt that is to
 * blame. Every unexplained break counts on this node at once, and is withdrawn if the instance answers a request that
 * was sent afterwards. It is published at once if it adds to earlier evidence or the request has a part that is not
 * known to have been answered, and otherwise only if it is neither withdrawn nor contradicted by an answer. An
 * instance's entry shows a crash late or not at all, so this class does not wait for it.
 *
 * Confined to the event loop.
 *
 * @param wallClock returns Unix milliseconds
 */
internal class CrashTracker(
    private val attribution: CrashAttribution,
    private val publisher: CrashEvidencePublisher,
    private val timer: TimerService,
    private val signs: SignsOfLife,
    private val wallClock: () -> Long,
) {
    private val logger = LogManager.getLogger("quarantine")

    /** Returns whether a request with [traits] must not be sent to any instance. */
    fun isBlocked(traits: RequestTraits): Boolean = attribution.isBlocked(traits)

    /**
     * Claims the trial of the blocked ones of [traits], if one is due and this node claims no other.
     *
     * Returns whether it does. Then calls [done] once the outcome is known; the request is no longer blocked if it may
     * be sent.
     */
    fun claimTrial(
        traits: RequestTraits,
        done: () -> Unit,
    ): Boolean {
        val due = attribution.trialsDue(traits)
        return due.isNotEmpty() && publisher.claimTrial(due, done)
    }

    /** Returns what is known against [traits] as `name=value` pairs for the log. */
    fun describe(traits: RequestTraits): String =
        "fingerprint=${traits.request} blockedBy=${attribution.blockedTraitsOf(traits)} " +
            "breaks=${attribution.breaksOf(traits.request)}"

    /** Returns whether the same [request] broke off at the current run of [instance]. */
    fun brokeAt(
        request: RequestFingerprint,
        instance: UpstreamInstance,
    ): Boolean = evidenceOf(instance) in attribution.breaksOf(request)

    /** Returns whether a break of a request with [traits] would add to evidence, or decide a trial. */
    fun isSuspect(traits: RequestTraits): Boolean =
        attribution.breaksOf(traits.request).isNotEmpty() || attribution.blockedTraitsOf(traits).isNotEmpty()

    /** Counts a send to [instance], or returns false if it would put too many instances at risk. */
    fun tryBegin(
        traits: RequestTraits,
        instance: UpstreamInstance,
    ): Boolean = attribution.tryBegin(traits, evidenceOf(instance))

    /** Ends a send whose result says nothing about the request. */
    fun ended(
        traits: RequestTraits,
        instance: UpstreamInstance,
    ): Unit = attribution.ended(traits, evidenceOf(instance))

    /** Ends a send that never reached [instance]. */
    fun notSent(
        traits: RequestTraits,
        instance: UpstreamInstance,
    ): Unit = attribution.notSent(traits, evidenceOf(instance))

    /**
     * Ends a send that got an answer whose end is certain.
     *
     * @param successful whether the instance did what the request asks for; an error may be answered without that
     */
    fun answered(
        traits: RequestTraits,
        instance: UpstreamInstance,
        successful: Boolean,
    ) {
        ended(traits, instance)
        if (successful) clear(traits)
    }

    /** Ends a send whose answer ended with its connection, so that the instance may have crashed just then. */
    fun answeredUntilClosed(
        traits: RequestTraits,
        instance: UpstreamInstance,
    ) {
        ended(traits, instance)
        val endedAt = timer.now()
        timer.schedule(ANSWER_TIMEOUT) { if (signs.answeredSince(instance, endedAt)) clear(traits) }
    }

    /** Ends a send and counts a break: its connection ended, or brought no answer. */
    fun broke(
        traits: RequestTraits,
        instance: UpstreamInstance,
    ) {
        ended(traits, instance)
        count(traits, instance, isSilence = false)
    }

    /**
     * Counts a break of a send that has had no answer for long, and does not end the send.
     *
     * An instance that is merely slow is heard from by other requests, here or at other nodes. The break then counts
     * against the request alone: many requests may wait there, and the parts of their prompts are not to blame. It is
     * withdrawn if the instance is heard from afterwards.
     */
    fun silent(
        traits: RequestTraits,
        instance: UpstreamInstance,
    ) {
        val now = timer.now()
        val alive =
            signs.heardSince(instance, now - LIFE_WINDOW) || signs.livedSince(instance, now - REPORTED_LIFE_WINDOW)
        count(if (alive) RequestTraits(traits.request) else traits, instance, isSilence = true)
    }

    private fun count(
        traits: RequestTraits,
        instance: UpstreamInstance,
        isSilence: Boolean,
    ) {
        if (signs.reachOf(instance) == ReachState.CUT_OFF) {
            logger.info(
                "fingerprint={} event=break-ignored reason=\"cut off\" instance={}",
                traits.request,
                instance.name,
            )
            return
        }
        val isSuspect = attribution.breaksOf(traits.request).isNotEmpty() || !traits.parts.all(attribution::isAnswered)
        val noticed = RequestBreak(traits, evidenceOf(instance), attribution.answeredOf(traits), wallClock())
        if (!attribution.onBreak(noticed, shared = false)) return
        logger.info("fingerprint={} event=broke {} parts={}", traits.request, noticed.evidence, traits.parts)
        val publication = Publication(noticed, instance, timer.now())
        if (isSuspect) publishWhenReached(publication, timer.now() + LONGEST_DOUBT)
        awaitLife(publication, isSilence)
    }

    /**
     * Publishes a break as soon as this node hears any instance of the service. Until then it may be cut off from all
     * of them, and have learnt nothing of the request.
     */
    private fun publishWhenReached(
        publication: Publication,
        latest: Moment,
    ) {
        val state = signs.reachOf(publication.instance)
        when {
            publication.ended || publication.published -> Unit
            signs.wasCutOffSince(publication.instance, publication.since) -> withdraw(publication, "cut off")
            state == ReachState.CUT_OFF -> withdraw(publication, "cut off")
            (state.isCutOff || state == ReachState.DOUBTFUL) && timer.now() < latest ->
                timer.schedule(REACH_CHECK_PERIOD) { publishWhenReached(publication, latest) }
            attribution.counts(publication.noticed) -> {
                publication.published = true
                attribution.onShared(publication.noticed)
                publisher.publish(publication.noticed)
            }
        }
    }

    private fun withdraw(
        publication: Publication,
        reason: String,
    ) {
        val noticed = publication.noticed
        publication.ended = true
        logger.info(
            "fingerprint={} event=survived reason=\"{}\" {}",
            noticed.traits.request,
            reason,
            noticed.evidence,
        )
        attribution.onSurvived(noticed.traits, noticed.evidence)
        if (publication.published) publisher.withdraw(noticed)
    }

    /**
     * Withdraws the break if the instance answers a request that was sent afterwards.
     *
     * After a silence, in which no connection ended, anything that it sends suffices. After the end of a connection it
     * does not, as a busy node may report late what an instance sent before it crashed.
     */
    private fun awaitLife(
        publication: Publication,
        isSilence: Boolean,
    ) {
        val instance = publication.instance
        val brokenAt = timer.now()
        timer.schedule(if (isSilence) LIFE_TIMEOUT else ANSWER_TIMEOUT) {
            val lived = isSilence && signs.livedSince(instance, brokenAt + REPORT_TOLERANCE)
            if (publication.ended) return@schedule
            if (lived || signs.answeredSince(instance, brokenAt)) {
                withdraw(publication, "heard again")
            } else if (!publication.published) {
                publishWhenReached(publication, timer.now() + LONGEST_DOUBT)
            }
        }
    }

    private fun clear(traits: RequestTraits) {
        val worthTelling = attribution.onAnswer(traits)
        if (worthTelling.isNotEmpty()) publisher.publishAnswered(worthTelling, traits)
    }

    private fun evidenceOf(instance: UpstreamInstance) = CrashEvidence(instance.name, instance.startedAt?.toString())

    private class Publication(
        val noticed: RequestBreak,
        val instance: UpstreamInstance,
        val since: Moment,
        var published: Boolean = false,
        var ended: Boolean = false,
    )

    private companion object {
        val REACH_CHECK_PERIOD = 50.milliseconds

        /** Other nodes are known by then to hear the instances, if any does. */
        val LONGEST_DOUBT = 3.seconds

        /** Shorter than the restart of a server, so that an answer comes from the same run. */
        val ANSWER_TIMEOUT = 1.seconds

        /** A busy engine sends events of some stream several times within this time. */
        val LIFE_WINDOW = 500.milliseconds

        /** The same with the way of two reports. */
        val REPORTED_LIFE_WINDOW = 1_500.milliseconds

        /** Nodes hear through the issuer within this time what instances sent to others. */
        val LIFE_TIMEOUT = 2.seconds

        /** What a node reports may be older than its report says, by the way of the report. */
        val REPORT_TOLERANCE = 400.milliseconds
    }
}
