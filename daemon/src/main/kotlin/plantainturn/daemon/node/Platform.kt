package plantainturn.daemon.node

import okhttp3.OkHttpClient
import plantainturn.connection.http.HttpClients
import plantainturn.connection.log.HttpLogService
import plantainturn.connection.log.LogService
import plantainturn.connection.vm.HttpVmList
import plantainturn.connection.vm.VmList
import plantainturn.daemon.settings.NodeSettings
import plantainturn.daemon.settings.PlatformSettings
import kotlin.time.Duration.Companion.milliseconds

/** The node's connections to the platform and to the upstreams. */
internal class Platform(
    settings: NodeSettings,
) {
    val client: OkHttpClient = HttpClients.create()

    val log: LogService = HttpLogService(client, settings.log.url, timeoutOf(settings.log))
    val vmList: VmList = HttpVmList(client, settings.vmList.url, timeoutOf(settings.vmList))
    val upstreams: UpstreamConnections = UpstreamConnections(client)

    private fun timeoutOf(platform: PlatformSettings) = platform.timeoutMilliseconds.milliseconds
}
