package plantainturn.replay.policy

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.Resident
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.replay.world.ReportSnapshot
import plantainturn.replay.world.UpstreamStatus
import plantainturn.replay.world.Upstreams
import plantainturn.request.routing.RoutingIndex
import plantainturn.version.configuration.UpstreamName

/** Turns the reports of the replay into the views that the library's routing reads. */
internal class UpstreamViews(
    private val upstreams: Upstreams,
    private val timer: TimerService,
) {
    private var views = persistentMapOf<UpstreamName, UpstreamView>()
    private var index = RoutingIndex.EMPTY
    private var checkedAt = Moment.ORIGIN

    init {
        upstreams.all.forEach(::refresh)
        upstreams.subscribe(::refresh)
    }

    fun index(): RoutingIndex {
        if (timer.now() != checkedAt) {
            checkedAt = timer.now()
            upstreams.all
                .filter {
                    views
                        .getValue(
                            it.engine.name,
                        ).suspected == it.isUsable(checkedAt)
                }.forEach(::refresh)
        }
        index = index.updated(views)
        return index
    }

    private fun refresh(status: UpstreamStatus) {
        val usable = status.isUsable(timer.now())
        val view =
            UpstreamView(
                name = status.engine.name,
                specification = status.engine.specification,
                report = report(status.report),
                reportTakenAt = status.report.takenAt,
                suspected = !usable,
            )
        views = views.put(view.name, view)
    }

    private fun report(snapshot: ReportSnapshot): EngineReport =
        EngineReport(
            incarnation = snapshot.incarnation.toString(),
            sequence = 0,
            ageMilliseconds = 0,
            highestFence = FenceNumber.NONE,
            residents = snapshot.states.map { (name, state) -> Resident(name, "1", 0, state) }.toPersistentList(),
            running = snapshot.running,
            waiting = snapshot.waiting,
        )
}
