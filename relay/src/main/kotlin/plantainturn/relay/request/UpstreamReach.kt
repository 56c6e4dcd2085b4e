package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.request.relay.ReachState
import plantainturn.request.relay.ServiceReach
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks whether this node reaches each service, and tries the paths by new connections when it hears nothing.
 *
 * All that would be false at a node that is cut off asks it: evidence of crashes, the placement of requests, and
 * whether to issue orders. Confined to the event loop.
 *
 * @param instancesOf returns the instances of a service that may receive requests
 * @param paths tells what is known of the paths to instances
 * @param onChange called with a service when it has not been reached for a moment, and when it is again; old
 *   connections may live on while new ones are refused, and are not to be given up then
 */
public class UpstreamReach(
    private val timer: TimerService,
    private val instancesOf: (ServiceName) -> List<UpstreamInstance>,
    private val paths: () -> UpstreamPaths,
    private val onChange: (ServiceName, Boolean) -> Unit,
) {
    private val logger = LogManager.getLogger("reach")
    private val tracked = HashMap<ServiceName, Tracked>()

    /** The services from which this node is cut off. */
    public val cutOff: Set<ServiceName>
        get() = tracked.filterValues { it.reach.state.isCutOff }.keys

    /** Returns what is known of the paths to [service]. */
    public fun stateOf(service: ServiceName): ReachState = tracked[service]?.reach?.state ?: ReachState.REACHED

    /** Returns whether requests for [service] had better go by way of another node. */
    public fun isCutOff(service: ServiceName): Boolean = stateOf(service).isCutOff

    /** Returns whether a request for [service] had better go that way as connections to [unreachable] failed for it. */
    internal fun isOutOfReach(
        service: ServiceName,
        unreachable: Set<UpstreamName>,
        hasOther: Boolean,
    ): Boolean = trackedOf(service).reach.isOutOfReach(unreachable, instancesOf(service).size, hasOther)

    /** Returns when this node was last certainly cut off from [service], null if it never was. */
    internal fun lastCutOffAt(service: ServiceName): Moment? = tracked[service]?.cutOffAt

    /** Records that a request was sent to [instance]. */
    internal fun onSent(instance: UpstreamInstance): Unit = trackedOf(instance.service).reach.onSent(timer.now())

    /** Records that [instance] sent something. */
    internal fun onHeard(instance: UpstreamInstance) {
        val service = trackedOf(instance.service)
        val before = service.reach.state
        service.reach.onHeard()
        onState(instance.service, before, service.reach.state)
    }

    /** Records that another node has brought the answer of an instance of [service]. */
    internal fun onHeardElsewhere(service: ServiceName) {
        trackedOf(service).heardElsewhereAt = timer.now()
    }

    /** Records that a connection to [instance] failed, or ended without an answer. */
    internal fun onFailure(instance: UpstreamInstance) {
        trackedOf(instance.service).reach.onFailure(instance.name, timer.now())
        update(instance.service)
    }

    /** Decides anew for each service, and tries paths that are due. */
    internal fun step() {
        for (service in tracked.keys.toList()) {
            update(service)
            tryPaths(service)
        }
    }

    private fun update(service: ServiceName) {
        val reach = trackedOf(service).reach
        val before = reach.state
        val instances = instancesOf(service)
        if (!reach.hasFailures) return
        val reported = instances.mapNotNull { paths().heardElsewhereAt(it) }
        val elsewhere = (reported + listOfNotNull(trackedOf(service).heardElsewhereAt)).maxOrNull()
        val state =
            reach.update(timer.now(), instances.size, elsewhere, instances.any { paths().isTriedElsewhere(it) })
        if (state == ReachState.CUT_OFF) trackedOf(service).cutOffAt = timer.now()
        onState(service, before, state)
    }

    private fun onState(
        service: ServiceName,
        before: ReachState,
        now: ReachState,
    ) {
        if (before == now) return
        if (setOf(before, now) != EVERYDAY_CHANGE) {
            logger.info("service={} event=reach-changed before={} now={}", service, before, now)
        }
        if (before.isCutOff == now.isCutOff) return
        val entry = trackedOf(service)
        entry.changes += 1
        if (now.isCutOff) {
            settle(service, entry, entry.changes)
        } else if (entry.settled) {
            entry.settled = false
            timer.schedule(Duration.ZERO) { onChange(service, false) }
        }
    }

    private fun settle(
        service: ServiceName,
        entry: Tracked,
        change: Int,
    ) {
        timer.schedule(SETTLING_TIME) {
            if (entry.changes == change && entry.reach.state.isCutOff) {
                entry.settled = true
                onChange(service, true)
            }
        }
    }

    private fun tryPaths(service: ServiceName) {
        val entry = trackedOf(service)
        val reach = entry.reach
        val now = timer.now()
        val pause =
            when {
                reach.state != ReachState.REACHED -> FAILING_PAUSE
                reach.isSilent(now) -> SILENT_PAUSE
                else -> return
            }
        if (entry.trials > 0 || entry.triedAt?.let { now - it < pause } == true) return
        entry.triedAt = now
        val instances = instancesOf(service)
        val untried = instances.filterNot { reach.isFailing(it.name) }.ifEmpty { instances }
        untried.shuffled().take(PATHS_AT_ONCE).forEach { tryPath(entry, it) }
    }

    private fun tryPath(
        entry: Tracked,
        instance: UpstreamInstance,
    ) {
        entry.trials += 1
        paths().connect(instance) { connected ->
            entry.trials -= 1
            logger.info(
                "instance={} event=path-tried connected={} state={}",
                instance.name,
                connected,
                entry.reach.state,
            )
            if (connected) onHeard(instance) else onFailure(instance)
        }
    }

    private fun trackedOf(service: ServiceName): Tracked = tracked.getOrPut(service) { Tracked() }

    private class Tracked {
        val reach = ServiceReach()
        var triedAt: Moment? = null
        var cutOffAt: Moment? = null
        var heardElsewhereAt: Moment? = null
        var trials = 0
        var changes = 0
        var settled = false
    }

    private companion object {
        /** One failure of one instance. */
        val EVERYDAY_CHANGE = setOf(ReachState.REACHED, ReachState.DOUBTFUL)

        /** Answers of several requests come on old connections within this time, if these live on. */
        val SETTLING_TIME = 300.milliseconds

        /** Two show whether it is the instance or this node. */
        const val PATHS_AT_ONCE = 2
        val FAILING_PAUSE = 300.milliseconds

        /** New connections are billed, and long prompts keep engines silent as well. */
        val SILENT_PAUSE = 2.seconds
    }
}
