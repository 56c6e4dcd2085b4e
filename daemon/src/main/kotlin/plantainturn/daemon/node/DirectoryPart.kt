package plantainturn.daemon.node

import plantainturn.connection.upstream.CacheEventFeed
import plantainturn.connection.upstream.HttpServiceProbe
import plantainturn.connection.upstream.PollingUpstreamDirectory
import plantainturn.process.membership.Membership
import plantainturn.process.membership.MembershipUpstreamExchange
import plantainturn.process.time.TimerService
import plantainturn.request.routing.PrefixCacheIndex
import plantainturn.version.configuration.ConfigurationSource
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** What lets this node know the upstreams. */
internal class DirectoryPart(
    platform: Platform,
    configuration: ConfigurationSource,
    membership: Membership,
    prefixCache: PrefixCacheIndex,
    timer: TimerService,
) {
    private val executor =
        ThreadPoolExecutor(0, MAXIMUM_THREADS, IDLE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { work ->
            Thread(work, "directory").apply { isDaemon = true }
        }
    val directory =
        PollingUpstreamDirectory(
            configuration = configuration,
            engines = platform.upstreams::engine,
            services = HttpServiceProbe(platform.client),
            vmList = platform.vmList,
            exchange = MembershipUpstreamExchange(membership, timer),
            timer = timer,
            executor = executor,
            observer = CacheEventFeed(prefixCache, timer),
        )

    private companion object {
        const val MAXIMUM_THREADS = 48
        const val IDLE_SECONDS = 30L
    }
}
