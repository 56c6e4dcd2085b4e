package plantainturn.daemon.node

import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import plantainturn.daemon.operator.DumpSource
import plantainturn.process.control.controller.ControllerState
import plantainturn.version.configuration.NumberedConfiguration

/** Collects the sections of a node's state dump. */
internal object NodeDump {
    private val json = Json { encodeDefaults = true }

    fun sources(parts: NodeParts): List<DumpSource> =
        listOf(
            DumpSource("configuration") { configuration(parts) },
            DumpSource("members") { members(parts) },
            DumpSource("upstreams") { upstreams(parts) },
            DumpSource("control") { control(parts) },
            DumpSource("requests") { requests(parts) },
        )

    private fun configuration(parts: NodeParts) =
        json.encodeToJsonElement(
            NumberedConfiguration.serializer(),
            parts.version.follower.current ?: NumberedConfiguration.NONE,
        )

    private fun members(parts: NodeParts) =
        json.encodeToJsonElement(
            ListSerializer(MemberDump.serializer()),
            parts.members.membership
                .members()
                .map(MemberDump::of),
        )

    private fun upstreams(parts: NodeParts) =
        json.encodeToJsonElement(
            ListSerializer(UpstreamDump.serializer()),
            parts.upstreams.directory
                .views()
                .values
                .map { UpstreamDump.of(it, parts.timer.now()) },
        )

    private fun control(parts: NodeParts) =
        json.encodeToJsonElement(ControllerState.serializer(), parts.control.controller.state())

    private fun requests(parts: NodeParts) =
        json.encodeToJsonElement(
            RequestDump.serializer(),
            RequestDump(
                inFlight = parts.requests.resources.tracker.inFlight,
                stopping = parts.requests.resources.tracker.isStopping,
                demand = parts.requests.demand.demand(),
                quarantine =
                    parts.requests.resources.quarantine
                        .snapshot(),
                owedClaimEntries = parts.claims.unwrittenEntries,
            ),
        )
}
