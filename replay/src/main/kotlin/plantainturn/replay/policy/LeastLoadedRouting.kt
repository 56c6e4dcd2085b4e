package plantainturn.replay.policy

import plantainturn.process.time.TimerService
import plantainturn.replay.world.Dispatcher
import plantainturn.replay.world.RequestRun
import plantainturn.replay.world.RunState
import plantainturn.replay.world.UpstreamStatus
import plantainturn.replay.world.Upstreams
import plantainturn.version.configuration.ModelName
import kotlin.random.Random

/** Hears of models that no upstream, or no upstream with room, holds. */
internal interface MissingModelListener {
    fun missing(model: ModelName)

    fun saturated(model: ModelName)

    fun used(
        model: ModelName,
        status: UpstreamStatus,
    )
}

/** An operator's routing: the least loaded by its last report of those that hold the model; engines queue. */
internal class LeastLoadedRouting(
    private val dispatcher: Dispatcher,
    private val upstreams: Upstreams,
    private val timer: TimerService,
    private val random: Random,
    private val listener: MissingModelListener?,
) : RoutingPolicy {
    private val waiting = ArrayList<RequestRun>()

    override fun arrived(run: RequestRun) = route(run)

    override fun refused(run: RequestRun) = route(run)

    override fun broken(run: RequestRun) = dispatcher.refuse(run)

    override fun left(
        run: RequestRun,
        status: UpstreamStatus,
    ): Unit = Unit

    override fun finished(
        run: RequestRun,
        status: UpstreamStatus,
    ): Unit = Unit

    override fun tick() {
        waiting.removeAll { it.state != RunState.WAITING }
        waiting.removeAll(::trySend)
    }

    private fun route(run: RequestRun) {
        if (!trySend(run)) waiting += run
    }

    private fun trySend(run: RequestRun): Boolean {
        val model = run.record.target
        val candidates = upstreams.holders(model).filter { it !== run.avoided && it.isUsable(timer.now()) }
        if (candidates.isEmpty()) {
            run.avoided = null
            listener?.missing(model)
            return false
        }
        val least = candidates.minOf { it.reportedLoad }
        val chosen = candidates.filter { it.reportedLoad == least }.random(random)
        if (least >= chosen.concurrency) listener?.saturated(model)
        listener?.used(model, chosen)
        dispatcher.send(run, chosen)
        return true
    }
}
