package plantainturn.daemon.node

import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.StreamName
import plantainturn.connection.vm.VmKind
import plantainturn.connection.vm.VmListResult
import plantainturn.daemon.peer.HttpPeerRecordSource
import plantainturn.daemon.settings.NodeSettings
import plantainturn.process.membership.GossipMembership
import plantainturn.process.membership.HttpPeerTransport
import plantainturn.process.membership.MemberRanking
import plantainturn.process.membership.MembershipSettings
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ConfigurationVersion
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** What lets this node know the other nodes. */
internal class MembershipPart(
    private val settings: NodeSettings,
    address: String,
    private val platform: Platform,
    private val timer: TimerService,
    private val random: Random,
    configurationVersion: () -> ConfigurationVersion,
) {
    @Volatile
    private var listedNodes: List<String> = emptyList()
    val membership =
        GossipMembership(
            settings = MembershipSettings(settings.name, address, settings.failureDomain, settings.peers),
            transport = HttpPeerTransport(platform.client, settings.peerToken),
            timer = timer,
            random = random,
            addresses = { listedNodes },
            configurationVersion = configurationVersion,
        )
    val ranking = MemberRanking(membership)

    /** Begins to read the VM list and to talk to the other nodes. */
    fun start() {
        timer.subscribe(LIST_PERIOD, ::readList)
        membership.start()
    }

    /** Returns the nodes that may pass on records of [stream], a few of those believed to be present. */
    fun recordSources(stream: StreamName): List<RecordSource> {
        val members = membership.members().filter { it.identifier != membership.self }.map { it.address }
        val addresses = members.ifEmpty { settings.peers + listedNodes }
        return addresses
            .distinct()
            .shuffled(random)
            .take(RECORD_SOURCES)
            .map { HttpPeerRecordSource(platform.client, it, stream, settings.peerToken) }
    }

    private fun readList() {
        val listed = platform.vmList.read() as? VmListResult.Listed ?: return
        listedNodes = listed.vms.filter { it.kind == VmKind.NODE && !it.leaving }.map { it.address }
    }

    private companion object {
        const val RECORD_SOURCES = 3
        val LIST_PERIOD = 10.seconds
    }
}
