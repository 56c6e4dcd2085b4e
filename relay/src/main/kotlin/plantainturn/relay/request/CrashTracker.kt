package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.CrashVerdict
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.quarantine.RequestFingerprint
import kotlin.time.Duration.Companion.seconds

/**
 * Holds against requests the instances at which they broke off, and lets the other nodes know.
 *
 * Load pattern: a request under which servers end comes again at any node. Every unexplained end counts here at once.
 * The first one is taken back if the instance answers a request that was sent afterwards, and told to the other nodes
 * if it does not; further ones are told at once. Whether an instance ended shows late in its entry, or not at all, so
 * that is not waited for.
 *
 * Confined to the event loop.
 *
 * @param answeredSince whether a run of an instance has begun to answer a request that this node sent after a moment
 */
internal class CrashTracker(
    private val register: QuarantineRegister,
    private val journal: CrashEvidencePublisher,
    private val timer: TimerService,
    private val answeredSince: (UpstreamInstance, Moment) -> Boolean,
) {
    private val logger = LogManager.getLogger("quarantine")

    /** Whether a request with [fingerprint] may be sent nowhere. */
    fun isStopped(fingerprint: RequestFingerprint): Boolean = register.isStopped(fingerprint)

    /** Returns why it may not, for the log. */
    fun describe(fingerprint: RequestFingerprint): String =
        "fingerprint=$fingerprint quarantined=${register.isQuarantined(fingerprint)} " +
            "breaks=${register.breaksOf(fingerprint)}"

    /** Whether a request with [fingerprint] broke off at this run of [instance]. */
    fun brokeAt(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Boolean = evidenceOf(instance) in register.breaksOf(fingerprint)

    /** Counts a send to [instance], unless it would put too many instances at risk. */
    fun tryBegin(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Boolean = register.tryBegin(fingerprint, instance.name, evidenceOf(instance).incarnation)

    /** A send ended in a way that says nothing about the request. */
    fun ended(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Unit = register.ended(fingerprint, instance.name)

    /** A send was answered whole. */
    fun succeeded(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Unit = register.succeeded(fingerprint, instance.name)

    /** A send ended without an answer, or has had none for long. */
    fun broke(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ) {
        val evidence = evidenceOf(instance)
        val known = register.breaksOf(fingerprint)
        register.broke(fingerprint, evidence) { CrashVerdict.UNKNOWN }
        when {
            evidence in known -> Unit
            known.isEmpty() -> awaitAnswer(fingerprint, evidence, instance)
            else -> journal.publish(fingerprint, evidence)
        }
    }

    /** One break says little, and most instances answer another request soon. */
    private fun awaitAnswer(
        fingerprint: RequestFingerprint,
        evidence: CrashEvidence,
        instance: UpstreamInstance,
    ) {
        val brokenAt = timer.now()
        timer.schedule(ANSWER_TIMEOUT) {
            if (answeredSince(instance, brokenAt)) {
                logger.info("fingerprint={} event=survived {}", fingerprint, evidence)
                register.survived(fingerprint, evidence)
            } else {
                journal.publish(fingerprint, evidence)
            }
        }
    }

    private fun evidenceOf(instance: UpstreamInstance) = CrashEvidence(instance.name, instance.startedAt?.toString())

    private companion object {
        /** Shorter than a server takes to come back, so that an answer is the same run's. */
        val ANSWER_TIMEOUT = 1.seconds
    }
}
