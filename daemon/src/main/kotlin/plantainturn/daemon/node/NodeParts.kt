package plantainturn.daemon.node

import plantainturn.connection.log.StreamName
import plantainturn.connection.upstream.UpstreamUsage
import plantainturn.daemon.settings.NodeSettings
import plantainturn.process.membership.MembershipListener
import plantainturn.process.time.TimerService
import plantainturn.request.claim.LogClaimService
import plantainturn.version.configuration.ConfigurationVersion
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * The parts of a node that live as long as its process.
 *
 * @param address base URL at which peers reach this node
 * @param incarnation names this run of the node, unlike any other run of any node
 */
internal class NodeParts(
    settings: NodeSettings,
    address: String,
    val incarnation: String,
    val timer: TimerService,
    val random: Random,
) {
    val platform = Platform(settings)
    val members: MembershipPart = MembershipPart(settings, address, platform, timer, random, ::currentVersion)
    val version =
        VersionPart(
            platform,
            incarnation,
            timer,
            { members.recordSources(StreamName.CONFIGURATION) },
            { members.ranking.rankOfSelf("configuration snapshot") },
        )
    val requests = RequestPart(members.membership, version.follower, timer, UpstreamUsage(), settings.failureDomain)
    val upstreams =
        DirectoryPart(platform, version.follower, members.membership, requests.resources.prefixCache, timer)
    val claims =
        LogClaimService(
            platform.log,
            "$incarnation/claims",
            timer,
            rank = { members.ranking.rankOfSelf("claims snapshot") },
        )
    val control =
        ControlPart(
            settings,
            platform,
            incarnation,
            timer,
            version.follower,
            upstreams.directory,
            requests.demand,
            members.ranking,
        )

    /** Begins all activity but that of the servers. */
    fun start() {
        members.membership.subscribe(versionListener())
        version.start()
        members.start()
        upstreams.directory.start()
        requests.start()
        claims.start()
        control.controller.start()
        timer.subscribe(STATUS_PERIOD) { publishStatus() }
    }

    /** Ends all activity but that of the servers. */
    fun close() {
        members.membership.leave()
        upstreams.directory.close()
        claims.close()
        version.close()
        members.membership.close()
    }

    private fun currentVersion(): ConfigurationVersion = version.follower.current?.version ?: ConfigurationVersion.NONE

    private fun publishStatus() {
        val stopping = requests.resources.tracker.isStopping
        requests.publishStatus(ready = version.follower.current != null && !stopping, leaving = stopping)
    }

    private fun versionListener() =
        object : MembershipListener {
            override fun onConfigurationVersion(
                version: ConfigurationVersion,
                address: String,
            ) {
                this@NodeParts.version.hearOf(version)
            }
        }

    private companion object {
        val STATUS_PERIOD = 1.seconds
    }
}
