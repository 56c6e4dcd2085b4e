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
 * Tracks at which instances a request broke off, and publishes this to the other nodes.
 *
 * A request that crashes instances may be repeated at any node. Every unexplained break counts on this node at once.
 * The first break of a request is withdrawn if the instance answers a request that was sent afterwards, and published
 * otherwise; further breaks are published at once. An instance's entry shows a crash late or not at all, so this class
 * does not wait for it.
 *
 * Confined to the event loop.
 *
 * @param answeredSince whether the same run of an instance began to answer a request that this node sent after a moment
 */
internal class CrashTracker(
    private val register: QuarantineRegister,
    private val publisher: CrashEvidencePublisher,
    private val timer: TimerService,
    private val answeredSince: (UpstreamInstance, Moment) -> Boolean,
) {
    private val logger = LogManager.getLogger("quarantine")

    /** Returns whether a request with [fingerprint] must not be sent to any instance. */
    fun isBlocked(fingerprint: RequestFingerprint): Boolean = register.isBlocked(fingerprint)

    /** Returns the breaks and the quarantine state of [fingerprint] as `name=value` pairs for the log. */
    fun describe(fingerprint: RequestFingerprint): String =
        "fingerprint=$fingerprint quarantined=${register.isQuarantined(fingerprint)} " +
            "breaks=${register.breaksOf(fingerprint)}"

    /** Returns whether a request with [fingerprint] broke off at the current run of [instance]. */
    fun brokeAt(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Boolean = evidenceOf(instance) in register.breaksOf(fingerprint)

    /** Counts a send to [instance], or returns false if it would put too many instances at risk. */
    fun tryBegin(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Boolean = register.tryBegin(fingerprint, instance.name, evidenceOf(instance).incarnation)

    /** Ends a send whose result says nothing about the request. */
    fun ended(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Unit = register.ended(fingerprint, instance.name)

    /** Ends a send that got a complete answer. */
    fun succeeded(
        fingerprint: RequestFingerprint,
        instance: UpstreamInstance,
    ): Unit = register.succeeded(fingerprint, instance.name)

    /** Counts a break: a send ended without an answer, or has had none for a long time. */
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
            else -> publisher.publish(fingerprint, evidence)
        }
    }

    /** A single break is weak evidence: most instances answer another request soon, and the break is then withdrawn. */
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
                publisher.publish(fingerprint, evidence)
            }
        }
    }

    private fun evidenceOf(instance: UpstreamInstance) = CrashEvidence(instance.name, instance.startedAt?.toString())

    private companion object {
        /** Shorter than the restart of a server, so that an answer comes from the same run. */
        val ANSWER_TIMEOUT = 1.seconds
    }
}
