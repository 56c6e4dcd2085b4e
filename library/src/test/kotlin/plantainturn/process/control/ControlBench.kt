package plantainturn.process.control

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.connection.log.AppendResult
import plantainturn.connection.log.FakeLogService
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.LogService
import plantainturn.connection.log.ReadResult
import plantainturn.connection.log.StreamName
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.control.controller.Controller
import plantainturn.process.control.controller.ControllerSettings
import plantainturn.process.control.controller.EngineDirectory
import plantainturn.process.control.lease.HolderIdentifier
import plantainturn.process.control.lease.LeaseKeeper
import plantainturn.process.control.lease.LeaseSettings
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.VirtualTimerService
import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ModelSpecification
import plantainturn.version.configuration.NumberedConfiguration
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import plantainturn.version.configuration.WeightStoreLimits
import plantainturn.version.placement.Planner
import java.util.concurrent.Executor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One node's connection to the log, which can be disconnected and whose appends can be delayed. */
class NodeLog(
    private val log: LogService,
    private val timer: VirtualTimerService,
) : LogService {
    var disconnected: Boolean = false

    /** Returns the delay of the next append, whose answer is then lost; null for no delay and an answer. */
    var appendDelay: () -> Duration? = { null }

    override fun append(
        stream: StreamName,
        record: LogRecord,
    ): AppendResult {
        if (disconnected) return AppendResult.Unknown("cut off")
        val delay = appendDelay() ?: return log.append(stream, record)
        timer.schedule(delay) { log.append(stream, record) }
        return AppendResult.Unknown("late")
    }

    override fun read(
        stream: StreamName,
        from: LogOffset,
        limit: Int,
        wait: Duration,
    ): ReadResult = if (disconnected) ReadResult.Unavailable("cut off") else log.read(stream, from, limit, wait)
}

/** A timer whose [now] runs at [rate] times the true rate; scheduled tasks run at the true rate. */
class DriftingTimer(
    private val timer: VirtualTimerService,
    private val rate: Double,
) : TimerService by timer {
    override fun now(): Moment = Moment((timer.now().nanoseconds * rate).toLong())
}

/** A configuration source that the test changes with [put]. */
class FakeConfigurationSource : ConfigurationSource {
    override var current: NumberedConfiguration? = NumberedConfiguration.NONE
        private set

    fun put(configuration: Configuration) {
        val version = current?.version ?: ConfigurationVersion.NONE
        current = NumberedConfiguration(version.next(), configuration)
    }

    override fun subscribe(listener: (NumberedConfiguration) -> Unit) = Unit
}

/** Runs tasks immediately, or queues them while paused. */
class PausableExecutor : Executor {
    private val held = ArrayDeque<Runnable>()
    var paused: Boolean = false

    override fun execute(command: Runnable) {
        if (paused) held.addLast(command) else command.run()
    }

    fun resume() {
        paused = false
        while (held.isNotEmpty() && !paused) held.removeFirst().run()
    }
}

/** One node's controller with its own connection to the log. */
class ControlNode(
    name: String,
    bench: ControlBench,
    rate: Double = 1.0,
) {
    val log = NodeLog(bench.log, bench.timer)
    val executor = PausableExecutor()
    val keeper =
        LeaseKeeper(log, "all", HolderIdentifier(name), DriftingTimer(bench.timer, rate), bench.leaseSettings)
    val controller =
        Controller(
            keeper = keeper,
            configuration = bench.configuration,
            upstreams = bench,
            engines = EngineDirectory { upstream, _ -> bench.engines.getValue(upstream) },
            planner = { bench.planner.plan(it) },
            demand = { persistentMapOf() },
            timer = DriftingTimer(bench.timer, rate),
            executor = executor,
            settings = bench.settings,
        )
}

/** A small deployment in virtual time: one log, fake engines that record their true state, and controllers. */
class ControlBench(
    val leaseSettings: LeaseSettings = LeaseSettings(),
    val settings: ControllerSettings = ControllerSettings(),
) : UpstreamDirectory {
    val timer = VirtualTimerService()
    val log = FakeLogService()
    val configuration = FakeConfigurationSource()
    val engines = mutableMapOf<UpstreamName, FakeEngine>()
    val nodes = mutableListOf<ControlNode>()
    val leaving = mutableSetOf<UpstreamName>()
    var planner: Planner = FloorPlanner()

    fun engine(
        name: String,
        capacityMegabytes: Long = 100,
        refusesOldFences: Boolean = true,
    ): FakeEngine {
        val upstream = UpstreamName(name)
        val engine = FakeEngine(timer, capacityMegabytes, refusesOldFences)
        engines[upstream] = engine
        val specification =
            UpstreamSpecification(
                address = "http://127.0.0.1:1",
                failureDomain = FailureDomain("domain-$name"),
                kind = UpstreamKind.ENGINE,
                accelerators = 1,
                memoryMegabytes = capacityMegabytes + CACHE_RESERVE_MEGABYTES,
                cacheReserveMegabytes = CACHE_RESERVE_MEGABYTES,
                refusesOldFences = refusesOldFences,
            )
        change { it.copy(upstreams = it.upstreams.put(upstream, specification)) }
        return engine
    }

    fun model(
        name: String,
        memoryMegabytes: Long,
        version: String = "1",
    ) = change { it.copy(models = it.models.put(ModelName(name), ModelSpecification(memoryMegabytes, version))) }

    fun node(
        name: String,
        rate: Double = 1.0,
    ): ControlNode = ControlNode(name, this, rate).also { nodes += it }

    fun change(transform: (Configuration) -> Configuration) {
        val current = configuration.current?.configuration ?: Configuration.EMPTY
        configuration.put(transform(current).copy(weightStore = WeightStoreLimits(loadsPerSecond = 10.0)))
    }

    /** Advances virtual time by [duration], with a round of each node after every step. */
    fun run(duration: Duration) {
        val end = timer.now() + duration
        while (timer.now() < end) {
            timer.advance(STEP)
            nodes.forEach { it.controller.tick() }
        }
    }

    override fun views(): PersistentMap<UpstreamName, UpstreamView> {
        val known = configuration.current?.configuration ?: Configuration.EMPTY
        return known.upstreams
            .mapValues { (name, specification) -> UpstreamView(name, specification, leaving = name in leaving) }
            .toPersistentMap()
    }

    override fun reportSuccess(upstream: UpstreamName) = Unit

    override fun reportFailure(upstream: UpstreamName) = Unit

    private companion object {
        const val CACHE_RESERVE_MEGABYTES = 20L
        val STEP = 250.milliseconds
    }
}
