package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.RetryAfterTracker
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.TimerService
import kotlin.time.Duration

/**
 * Handles the notices that instances attach to answers, and the departures that peers learned of in this way.
 *
 * @param onDeparture called once for each instance run that is leaving
 */
public class InstanceNotices(
    private val roster: InstanceRoster,
    private val rests: RetryAfterTracker,
    private val timer: TimerService,
    private val onDeparture: (InstanceRun) -> Unit,
) {
    private val logger = LogManager.getLogger("roster")

    /** Handles the [notice] of an answer from [instance], whichever request was answered. */
    public fun onNotice(
        instance: UpstreamInstance,
        notice: InstanceNotice,
    ) {
        if (notice.leaving) markLeaving(instance.run, from = "answer")
        notice.retryAfter?.let { asked ->
            val kept = rests.onRetryAfter(instance.run, asked, timer.now())
            logger.info("instance={} event=rest-asked asked={} kept={}", instance.name, asked, kept)
        }
    }

    /** Handles [departures] that peers reported. */
    public fun onPeerDepartures(departures: List<InstanceRun>): Unit =
        departures.forEach { markLeaving(it, from = "peer") }

    /** Returns for how much longer [instance] asked to receive no requests, null if it did not ask. */
    public fun restOf(instance: UpstreamInstance): Duration? = rests.remaining(instance.run, timer.now())

    private fun markLeaving(
        run: InstanceRun,
        from: String,
    ) {
        if (!roster.markLeaving(run)) return
        logger.info("instance={} event=leaving-announced startedAt={} from={}", run.name, run.startedAt, from)
        onDeparture(run)
    }
}
