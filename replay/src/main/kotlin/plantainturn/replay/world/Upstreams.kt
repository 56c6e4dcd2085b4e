package plantainturn.replay.world

import plantainturn.connection.engine.ResidentState
import plantainturn.process.time.TimerService
import plantainturn.replay.engine.EngineProfile
import plantainturn.replay.engine.SimulatedEngine
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName

/** All engines as the nodes see them: through reports that come a while after they were taken. */
internal class Upstreams(
    engines: List<SimulatedEngine>,
    private val profile: EngineProfile,
    private val timer: TimerService,
) {
    val all: List<UpstreamStatus> = engines.mapIndexed { index, engine -> UpstreamStatus(index, engine) }
    private val byName = all.associateBy { it.engine.name }
    private val holders = HashMap<ModelName, MutableList<UpstreamStatus>>()
    private val listeners = mutableListOf<(UpstreamStatus) -> Unit>()

    /** Takes the first reports and starts the periodic ones, spread over the period. */
    fun start() {
        all.forEach { status ->
            index(status, emptySet(), readyNames(status.report))
            val offset = profile.reportPeriod * status.index / all.size
            timer.schedule(offset) { timer.subscribe(profile.reportPeriod) { take(status) } }
        }
    }

    fun find(name: UpstreamName): UpstreamStatus = byName.getValue(name)

    /** Calls [listener] with each report that is seen. */
    fun subscribe(listener: (UpstreamStatus) -> Unit) {
        listeners += listener
    }

    /** Returns the upstreams whose last report says that [model] is ready there. */
    fun holders(model: ModelName): List<UpstreamStatus> = holders[model].orEmpty()

    private fun take(status: UpstreamStatus) {
        val engine = status.engine
        if (!engine.alive) return
        val report =
            ReportSnapshot(timer.now(), engine.incarnation, engine.runningCount, engine.waitingCount, engine.states())
        timer.schedule(profile.reportLag) { see(status, report) }
    }

    private fun see(
        status: UpstreamStatus,
        report: ReportSnapshot,
    ) {
        val before = readyNames(status.report)
        status.report = report
        index(status, before, readyNames(report))
        listeners.forEach { it(status) }
    }

    private fun index(
        status: UpstreamStatus,
        before: Set<ModelName>,
        after: Set<ModelName>,
    ) {
        if (before == after) return
        (before - after).forEach { holders[it]?.remove(status) }
        (after - before).forEach { holders.getOrPut(it, ::ArrayList) += status }
    }

    private fun readyNames(report: ReportSnapshot): Set<ModelName> =
        report.states.filterValues { it == ResidentState.READY }.keys
}
