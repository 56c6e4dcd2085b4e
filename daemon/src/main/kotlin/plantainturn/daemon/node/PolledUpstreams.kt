package plantainturn.daemon.node

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.milliseconds

/** Polls every engine's report in turn. */
internal class PolledUpstreams(
    private val configuration: ConfigurationSource,
    private val connections: UpstreamConnections,
    private val timer: TimerService,
) : UpstreamDirectory {
    @Volatile
    private var known: PersistentMap<UpstreamName, UpstreamView> = persistentMapOf()

    fun start() {
        timer.subscribe(PERIOD, ::poll)
    }

    override fun views(): PersistentMap<UpstreamName, UpstreamView> = known

    override fun reportSuccess(upstream: UpstreamName): Unit = Unit

    override fun reportFailure(upstream: UpstreamName): Unit = Unit

    private fun poll() {
        val upstreams = configuration.current?.configuration?.upstreams ?: return
        var next = persistentMapOf<UpstreamName, UpstreamView>()
        for ((name, specification) in upstreams) {
            val report =
                if (specification.kind == UpstreamKind.ENGINE) {
                    (connections.engine(name, specification).report() as? EngineReportResult.Reported)?.report
                } else {
                    null
                }
            next = next.put(name, UpstreamView(name, specification, report, timer.now()))
        }
        known = next
    }

    private companion object {
        val PERIOD = 200.milliseconds
    }
}
