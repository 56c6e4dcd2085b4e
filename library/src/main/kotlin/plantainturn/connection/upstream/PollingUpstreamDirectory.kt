package plantainturn.connection.upstream

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.upstream.internal.LeavingVms
import plantainturn.connection.upstream.internal.UpstreamRecord
import plantainturn.connection.vm.VmList
import plantainturn.process.membership.RendezvousHash
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.request.completion.EngineConnections
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.NumberedConfiguration
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Knows the upstreams by polling those that this node watches and by what the other nodes tell of the rest.
 *
 * Each upstream has at most one poll in flight, on a thread of [executor], so that one that hangs delays no other. An
 * upstream that leaves, by the platform's word or by the configuration, is marked or gone at the next tick after any
 * node reads that.
 *
 * @param executor runs polls; they block. It may reject work, which is then tried again
 * @param observer is told of each report that was read
 */
public class PollingUpstreamDirectory(
    private val configuration: ConfigurationSource,
    private val engines: EngineConnections,
    private val services: ServiceProbe,
    vmList: VmList,
    private val exchange: UpstreamExchange,
    private val timer: TimerService,
    private val executor: Executor,
    private val settings: DirectorySettings = DirectorySettings(),
    private val observer: UpstreamObserver = UpstreamObserver { _, _, _ -> },
) : UpstreamDirectory,
    AutoCloseable {
    private val records = AtomicReference<PersistentMap<UpstreamName, UpstreamRecord>>(persistentMapOf())
    private val known = AtomicReference<PersistentMap<UpstreamName, UpstreamView>>(persistentMapOf())
    private val leaving = LeavingVms(vmList, exchange)
    private var vmListReadAt: Moment? = null
    private var subscription: TimerSubscription? = null

    /** Begins to poll. */
    public fun start() {
        configuration.current?.let(::configure)
        configuration.subscribe(::configure)
        tick()
        subscription = timer.subscribe(settings.period, ::tick)
    }

    override fun close() {
        subscription?.cancel()
    }

    override fun views(): PersistentMap<UpstreamName, UpstreamView> = known.get()

    override fun reportSuccess(upstream: UpstreamName) {
        records.get()[upstream]?.exchangeSucceeded(timer.now())
    }

    override fun reportFailure(upstream: UpstreamName) {
        val record = records.get()[upstream] ?: return
        record.exchangeFailed(timer.now())
        refresh()
    }

    private fun configure(current: NumberedConfiguration) {
        val upstreams = current.configuration.upstreams
        records.updateAndGet { before ->
            upstreams
                .mapValues { (name, specification) ->
                    before[name]?.takeIf { it.specification == specification }
                        ?: UpstreamRecord(name, specification, settings)
                }.toPersistentMap()
        }
        refresh()
    }

    private fun tick() {
        val now = timer.now()
        readVmList(now)
        val nodes = exchange.nodes()
        val observations = exchange.observations()
        for ((name, record) in records.get()) {
            val watchers = RendezvousHash.nodesOf(name.value, nodes, settings.watchersPerUpstream)
            if (exchange.self in watchers) {
                poll(record)
                if (watchers.size < nodes.size) record.takeToPublish(now)?.let(exchange::publish)
            } else {
                observations[name]?.let(record::hear)
            }
        }
        refresh()
    }

    private fun readVmList(now: Moment) {
        val last = vmListReadAt
        if (last != null && now - last < vmListPeriod()) return
        if (!leaving.beginRead()) return
        vmListReadAt = now
        run(leaving::abandonRead) {
            leaving.read()
            refresh()
        }
    }

    private fun vmListPeriod(): Duration =
        maxOf(settings.vmListPeriod, 1.seconds * exchange.nodes().size / settings.vmListReadsPerSecond)

    private fun poll(record: UpstreamRecord) {
        if (!record.queuePoll()) return
        run(record::abandonPoll) {
            record.beginPoll(timer.now())
            if (record.specification.kind == UpstreamKind.ENGINE) readReport(record) else probe(record)
            refresh()
        }
    }

    private fun readReport(record: UpstreamRecord) {
        val engine = engines.connect(record.name, record.specification)
        when (val result = engine.report()) {
            is EngineReportResult.Reported -> {
                record.pollAnswered(result.report, timer.now())
                observer.onReport(record.name, engine, result.report)
            }
            is EngineReportResult.Unavailable -> record.pollFailed()
        }
    }

    private fun probe(record: UpstreamRecord) {
        if (services.answers(record.name, record.specification)) {
            record.pollAnswered(null, timer.now())
        } else {
            record.pollFailed()
        }
    }

    private fun run(
        onRejection: () -> Unit,
        work: () -> Unit,
    ) {
        try {
            executor.execute(work)
        } catch (_: RejectedExecutionException) {
            onRejection()
        }
    }

    /** Makes the views anew; those that are as before stay the same objects. */
    private fun refresh() {
        val now = timer.now()
        val present = records.get()
        val leavingAddresses = leaving.addresses()
        val usual = medianRoundTrip(present.values)
        known.updateAndGet { before ->
            val views = before.builder()
            views.keys.retainAll(present.keys)
            for ((name, record) in present) {
                val view = viewOf(record, leavingAddresses, record.suspected(now, usual))
                if (before[name] != view) views[name] = view
            }
            views.build()
        }
    }

    private fun viewOf(
        record: UpstreamRecord,
        leavingAddresses: Set<String>,
        suspected: Boolean,
    ): UpstreamView {
        val observed = record.latest()
        return UpstreamView(
            name = record.name,
            specification = record.specification,
            report = observed?.report,
            reportTakenAt = observed?.takenAt,
            leaving = LeavingVms.normal(record.specification.address) in leavingAddresses,
            suspected = suspected,
        )
    }

    private fun medianRoundTrip(records: Collection<UpstreamRecord>): Duration? {
        val sorted = records.mapNotNull { it.roundTrip() }.sorted()
        return sorted.getOrNull(sorted.size / 2)
    }
}
