package plantainturn.benchmarks

import kotlinx.collections.immutable.toPersistentList
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.process.control.ledger.MemoryLedger
import plantainturn.process.control.ledger.TimestampedReport
import plantainturn.process.time.Moment
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Measures what the memory ledger costs the controller for each report that it reads. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class LedgerBenchmark {
    private val upstream = UpstreamName("server-1")
    private val ledger = MemoryLedger(FenceNumber(1), 5.seconds)
    private var sequence = 0L
    private lateinit var residentList: List<Resident>

    /** Models and adapters that are resident on the server. */
    @Param("3", "30", "120")
    @JvmField
    public var residents: Int = 0

    /** Opens the ledger of one server. */
    @Setup
    public fun prepare() {
        residentList = List(residents) { Resident(ModelName("model-$it"), "1", 1, ResidentState.READY) }
        val specification =
            UpstreamSpecification(
                address = "http://127.0.0.1:1",
                failureDomain = FailureDomain("domain-1"),
                kind = UpstreamKind.ENGINE,
                memoryMegabytes = MEMORY_MEGABYTES,
            )
        ledger.open(upstream, specification, Moment.ORIGIN)
    }

    /** Takes one report into the account. */
    @Benchmark
    public fun takeReport(): Any? {
        sequence++
        val report =
            EngineReport(
                incarnation = "first",
                sequence = sequence,
                ageMilliseconds = 0,
                highestFence = FenceNumber(1),
                residents = residentList.toPersistentList(),
            )
        ledger.report(upstream, TimestampedReport(report, Moment(sequence)))
        return ledger.get(upstream)
    }

    private companion object {
        const val MEMORY_MEGABYTES = 1_000L
    }
}
