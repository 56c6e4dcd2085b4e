package plantainturn.replay.world

import plantainturn.connection.engine.ResidentState
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.replay.engine.EngineProfile
import plantainturn.replay.engine.SimulatedEngine
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.PlacementState
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends orders to engines for every policy and keeps account of their memory.
 *
 * Memory is reserved before a load is ordered and comes free only when a report shows the unload done. Orders that
 * leave no trace in the reports are sent again.
 *
 * @property refusesWithoutFit whether a load that does not fit the account is refused; off only in tests
 */
internal class OrderDesk(
    private val configuration: Configuration,
    private val upstreams: Upstreams,
    private val profile: EngineProfile,
    private val timer: TimerService,
    private val random: Random,
    private val lostOrderShare: Double,
    private val refusesWithoutFit: Boolean = true,
) {
    private class Entry(
        val megabytes: Long,
        var state: PlacementState,
        var orderedAt: Moment,
    )

    private class Account(
        var incarnation: Int,
        val entries: MutableMap<ModelName, Entry>,
    )

    private val accounts = upstreams.all.map { Account(0, opening(it.report)) }

    /** Whether the log answers, which orders to engines that ignore fences need. */
    var logAnswers: Boolean = true

    init {
        upstreams.subscribe(::see)
    }

    fun freeMegabytes(status: UpstreamStatus): Long =
        status.engine.specification.weightCapacityMegabytes -
            accounts[status.index].entries.values.sumOf { it.megabytes }

    fun states(status: UpstreamStatus): Map<ModelName, PlacementState> =
        accounts[status.index].entries.mapValues { it.value.state }

    fun state(
        status: UpstreamStatus,
        name: ModelName,
    ): PlacementState? = accounts[status.index].entries[name]?.state

    /** Whether the product may give orders to this engine now. */
    fun acceptsOrders(status: UpstreamStatus): Boolean = logAnswers || status.engine.specification.refusesOldFences

    /** Orders a load if the memory is there and nothing is known of [name] there yet. */
    fun load(
        status: UpstreamStatus,
        name: ModelName,
    ): Boolean {
        val account = accounts[status.index]
        val megabytes = megabytes(name)
        if (name in account.entries) return false
        if (refusesWithoutFit && freeMegabytes(status) < megabytes) return false
        account.entries[name] = Entry(megabytes, PlacementState.LOADING, timer.now())
        sendLoad(status.engine, name)
        return true
    }

    /** Orders an unload of what is ready. */
    fun unload(
        status: UpstreamStatus,
        name: ModelName,
    ): Boolean {
        val entry = accounts[status.index].entries[name] ?: return false
        if (entry.state != PlacementState.READY) return false
        entry.state = PlacementState.UNLOADING
        entry.orderedAt = timer.now()
        sendUnload(status.engine, name)
        return true
    }

    private fun see(status: UpstreamStatus) {
        val account = accounts[status.index]
        val report = status.report
        if (report.incarnation != account.incarnation) {
            account.incarnation = report.incarnation
            account.entries.clear()
            account.entries.putAll(opening(report))
            return
        }
        val gone = account.entries.filter { (name, entry) -> settle(status, name, entry) }.keys
        account.entries -= gone
    }

    /** Returns whether [name] is gone. */
    private fun settle(
        status: UpstreamStatus,
        name: ModelName,
        entry: Entry,
    ): Boolean {
        val reported = status.report.states[name]
        val overdue = status.report.takenAt > entry.orderedAt + RESEND_AFTER
        when (entry.state) {
            PlacementState.LOADING ->
                if (reported == ResidentState.READY) {
                    entry.state = PlacementState.READY
                } else if (reported == null && overdue) {
                    entry.orderedAt = timer.now()
                    sendLoad(status.engine, name)
                }

            PlacementState.UNLOADING ->
                if (reported == null) {
                    return true
                } else if (reported == ResidentState.READY && overdue) {
                    entry.orderedAt = timer.now()
                    sendUnload(status.engine, name)
                }

            PlacementState.READY -> return reported == null && overdue

            PlacementState.IN_DOUBT -> Unit
        }
        return false
    }

    private fun sendLoad(
        engine: SimulatedEngine,
        name: ModelName,
    ) = send { engine.load(name, megabytes(name), configuration.adapters[name]?.baseModel) }

    private fun sendUnload(
        engine: SimulatedEngine,
        name: ModelName,
    ) = send { engine.unload(name) }

    private fun send(action: () -> Unit) {
        if (lostOrderShare > 0 && random.nextDouble() < lostOrderShare) return
        timer.schedule(profile.orderDelay, action)
    }

    private fun opening(report: ReportSnapshot): MutableMap<ModelName, Entry> =
        report.states.entries.associateTo(LinkedHashMap()) { (name, state) ->
            name to Entry(megabytes(name), state.toPlacementState(), report.takenAt)
        }

    private fun megabytes(name: ModelName): Long =
        configuration.models[name]?.memoryMegabytes ?: configuration.adapters.getValue(name).memoryMegabytes

    private fun ResidentState.toPlacementState(): PlacementState =
        when (this) {
            ResidentState.LOADING -> PlacementState.LOADING
            ResidentState.READY -> PlacementState.READY
            ResidentState.UNLOADING -> PlacementState.UNLOADING
        }

    private companion object {
        val RESEND_AFTER: Duration = 2.seconds
    }
}
