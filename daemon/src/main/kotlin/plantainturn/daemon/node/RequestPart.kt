package plantainturn.daemon.node

import plantainturn.connection.upstream.UpstreamUsage
import plantainturn.process.membership.DemandGossip
import plantainturn.process.membership.GossipRemoteSends
import plantainturn.process.membership.GossipValue
import plantainturn.process.membership.Membership
import plantainturn.process.membership.QuarantineGossip
import plantainturn.process.time.TimerService
import plantainturn.request.RequestResources
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.UpstreamName

/** What the requests of this node share, and what it shares of that with the other nodes. */
internal class RequestPart(
    private val membership: Membership,
    private val configuration: ConfigurationSource,
    private val timer: TimerService,
    private val usage: UpstreamUsage,
    ownDomain: FailureDomain,
) {
    private val remoteSends = GossipRemoteSends(membership, timer) { inFlight() }
    val resources = RequestResources(timer, ownDomain, remoteSends, usage = usage)
    val demand =
        DemandGossip(membership, timer, { resources.demand.snapshot(timer.now(), resources.admission::waiting) })
    private val quarantine = QuarantineGossip(membership, timer, resources.quarantine)

    /** Begins to share. */
    fun start() {
        remoteSends.start()
        demand.start()
        quarantine.start()
    }

    /** Tells the other nodes whether this one takes requests. */
    fun publishStatus(
        ready: Boolean,
        leaving: Boolean,
    ) {
        membership.publish(GossipValue.NodeStatus(ready, leaving))
    }

    private fun inFlight(): Map<UpstreamName, Int> {
        val upstreams = configuration.current?.configuration?.upstreams ?: return emptyMap()
        return upstreams.mapValues { (name, specification) ->
            usage.read(name, specification, null, timer.now()).inFlight
        }
    }
}
