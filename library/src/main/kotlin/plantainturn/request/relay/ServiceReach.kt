package plantainturn.request.relay

import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether this node is cut off from a whole service.
 *
 * Being cut off is a fact about this node and says nothing about the instances: a node that hears none of them learns
 * nothing of any request. Load pattern: some VMs, or all of a failure domain, lose their paths to the instances for
 * seconds, while callers and the other nodes still reach them. It is presumed once several instances have failed and
 * none was heard since, and holds on only if other nodes hear instances meanwhile; otherwise these have failed.
 *
 * Confined to one thread. Does no input or output.
 */
public class ServiceReach {
    private val failing = LinkedHashSet<UpstreamName>()
    private var failingSince: Moment? = null
    private var presumedAt: Moment? = null
    private var awaitedSince: Moment? = null

    /** What was last decided. */
    public var state: ReachState = ReachState.REACHED
        private set

    /** Whether an instance has failed since one was last heard. */
    public val hasFailures: Boolean
        get() = failingSince != null

    /** Records that something was sent that an instance should answer. */
    public fun onSent(now: Moment) {
        if (awaitedSince == null) awaitedSince = now
    }

    /** Records that any instance sent something, or accepted a new connection. */
    public fun onHeard() {
        awaitedSince = null
        if (failingSince == null) return
        failing.clear()
        failingSince = null
        presumedAt = null
        state = ReachState.REACHED
    }

    /** Records that a connection to [instance] failed, or ended without an answer. */
    public fun onFailure(
        instance: UpstreamName,
        now: Moment,
    ) {
        if (failingSince == null) failingSince = now
        failing += instance
    }

    /** Returns whether an answer has been awaited for so long that the paths should be tried. */
    public fun isSilent(now: Moment): Boolean = awaitedSince?.let { now - it >= SILENCE } ?: false

    /** Returns whether [instance] has failed since an instance was last heard. */
    public fun isFailing(instance: UpstreamName): Boolean = instance in failing

    /**
     * Returns whether a request had better go by way of another node, whatever is heard on connections that live on.
     *
     * Load pattern: new connections are refused while old ones, all in use, bring answers to other requests.
     *
     * @param unreachable the instances to which connections for this request failed
     * @param instances the number of instances of the service
     * @param hasOther whether a further instance could take the request
     */
    public fun isOutOfReach(
        unreachable: Set<UpstreamName>,
        instances: Int,
        hasOther: Boolean,
    ): Boolean =
        state != ReachState.UNHEARD_BY_ALL &&
            unreachable.size >= minOf(if (hasOther) MOST_TRIED else LEAST_FAILING, instances).coerceAtLeast(1)

    /**
     * Decides anew and returns the state.
     *
     * @param instances the number of instances of the service
     * @param heardElsewhereAt when another node last heard any instance, as far as known
     * @param isTriedElsewhere whether other nodes have requests at any instance, so that they would hear it
     */
    public fun update(
        now: Moment,
        instances: Int,
        heardElsewhereAt: Moment?,
        isTriedElsewhere: Boolean = true,
    ): ReachState {
        val since = failingSince ?: return state
        val presumed = presumedAt
        state =
            when {
                instances == 0 -> ReachState.UNHEARD_BY_ALL
                failing.size < minOf(LEAST_FAILING, instances) -> ReachState.DOUBTFUL
                heardElsewhereAt != null && heardElsewhereAt > since + REPORT_TOLERANCE -> ReachState.CUT_OFF
                presumed != null && now - presumed > CONFIRMATION_TIME && isTriedElsewhere -> ReachState.UNHEARD_BY_ALL
                else -> ReachState.PRESUMED_CUT_OFF
            }
        if (state == ReachState.PRESUMED_CUT_OFF && presumed == null) presumedAt = now
        return state
    }

    private companion object {
        /** One instance may fail by itself. */
        const val LEAST_FAILING = 2

        /** Further instances are hardly reached either. */
        const val MOST_TRIED = 4

        /** Sound instances answer some request of a service within this time, other than in a queue. */
        val SILENCE = 300.milliseconds

        /** What other nodes report may be older than the report says, by the way of the report. */
        val REPORT_TOLERANCE = 400.milliseconds

        /** Several exchanges of reports. */
        val CONFIRMATION_TIME = 2.seconds
    }
}
