package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.InstanceNotice
import plantainturn.connection.roster.InstanceRoster
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.RestRequests
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.TimerService
import kotlin.time.Duration

/**
 * Takes in what instances say of themselves beside their answers, and what peers heard of that.
 *
 * @param onDeparture is told of each run that is newly known to leave
 */
public class InstanceNotices(
    private val roster: InstanceRoster,
    private val rests: RestRequests,
    private val timer: TimerService,
    private val onDeparture: (InstanceRun) -> Unit,
) {
    private val logger = LogManager.getLogger("roster")

    /** Takes in the [notice] beside an answer that came from [instance], to whatever it was sent. */
    public fun onNotice(
        instance: UpstreamInstance,
        notice: InstanceNotice,
    ) {
        if (notice.leaving) markLeaving(instance.run, from = "answer")
        notice.rest?.let { asked ->
            val kept = rests.onAsked(instance.run, asked, timer.now())
            logger.info("instance={} event=rest-asked asked={} kept={}", instance.name, asked, kept)
        }
    }

    /** Takes over that peers heard of [departures]. */
    public fun onPeerDepartures(departures: List<InstanceRun>): Unit =
        departures.forEach { markLeaving(it, from = "peer") }

    /** Returns how much longer [instance] is to be left alone, null if it is not. */
    public fun restOf(instance: UpstreamInstance): Duration? = rests.remaining(instance.run, timer.now())

    private fun markLeaving(
        run: InstanceRun,
        from: String,
    ) {
        if (!roster.announceLeaving(run)) return
        logger.info("instance={} event=leaving-announced startedAt={} from={}", run.name, run.startedAt, from)
        onDeparture(run)
    }
}
