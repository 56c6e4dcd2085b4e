package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ServiceName
import plantainturn.version.route.Repetition
import kotlin.time.Duration

/**
 * Binds the stream of one request to the software version that began it, within its answer and over its caller's tries.
 */
internal class StreamBinding(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val repetition: Repetition,
    private val service: ServiceName,
    private val answer: CallerAnswer,
) {
    private val stream = request.resumedStream ?: request.identifier
    private val searchedSince = context.timer.now()

    /** How many searches have shown that no other node knows the origin of the resumed stream. */
    private var failedSearches = 0

    /** The software versions that may run the request now. */
    val constraint: VersionConstraint
        get() =
            when {
                !repetition.streams -> VersionConstraint.None
                answer.hasBegun -> context.streamVersions.constraintOf(stream, service)
                request.resumeAfter != null -> context.streamVersions.constraintOf(request.resumedStream, service)
                else -> VersionConstraint.None
            }

    /**
     * Asks other nodes for the origin of the stream, and calls [done] when it is worth looking at [constraint] again.
     *
     * Returns false if nothing is asked, as no node will know it: the caller may come back later.
     */
    fun search(done: () -> Unit): Boolean {
        val resumed = request.resumedStream
        if (resumed == null || answer.hasBegun || isHopeless()) {
            if (!answer.hasBegun) context.metrics.onResumed("refused")
            return false
        }
        context.streamVersions.find(resumed) { isCertain ->
            if (constraint == VersionConstraint.Unknown) {
                if (isCertain) failedSearches++
                context.timer.schedule(RequestLimits.ORIGIN_RETRY_INTERVAL, done)
            } else {
                context.timer.schedule(Duration.ZERO, done)
            }
        }
        return true
    }

    private fun isHopeless(): Boolean =
        failedSearches >= RequestLimits.CERTAIN_ORIGIN_SEARCHES ||
            context.timer.now() - searchedSince > RequestLimits.ORIGIN_TIMEOUT

    /**
     * Records that [origin], to which the request was sent at [sentAt], brings the first event of this answer.
     *
     * Holds the answer back while no other node knows what the caller needs to resume it, and then calls [passedOn].
     */
    fun onFirstEvent(
        origin: UpstreamInstance,
        sentAt: Moment,
        passedOn: () -> Unit,
    ) {
        if (request.resumeAfter != null) context.metrics.onResumed("continued")
        val mustTell = context.streamVersions.onFirstEvent(stream, origin, sentAt)
        if (!mustTell || repetition != Repetition.RESUMABLE_STREAM) return
        answer.hold()
        val heldAt = context.timer.now()
        context.streamVersions.tell(stream) { result ->
            val elapsed = context.timer.now() - heldAt
            context.metrics.onOriginTold(result)
            context.eventLog.record(
                request.identifier,
                "origin-told",
                "stream=$stream version=${origin.softwareVersion} result=$result after=$elapsed",
            )
            answer.passOn()
            passedOn()
        }
    }

    override fun toString(): String =
        "stream=${request.resumedStream} version=unknown failedSearches=$failedSearches " +
            "searched=${context.timer.now() - searchedSince}"
}
