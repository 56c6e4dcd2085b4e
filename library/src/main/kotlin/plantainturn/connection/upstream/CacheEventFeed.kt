package plantainturn.connection.upstream

import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.ModelEngine
import plantainturn.process.time.TimerService
import plantainturn.request.routing.PrefixCacheIndex
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.ConcurrentHashMap

/** Feeds the cache events of the upstreams that this node watches to [index]. */
public class CacheEventFeed(
    private val index: PrefixCacheIndex,
    private val timer: TimerService,
) : UpstreamObserver {
    private val incarnations = ConcurrentHashMap<UpstreamName, String>()

    override fun onReport(
        upstream: UpstreamName,
        engine: ModelEngine,
        report: EngineReport,
    ) {
        val before = incarnations.put(upstream, report.incarnation)
        if (before != null && before != report.incarnation) index.forget(upstream)
        index.recordEvents(upstream, engine.cacheEvents(index.nextSequence(upstream)), timer.now())
    }
}
