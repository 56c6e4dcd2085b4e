package plantainturn.process.control.ledger

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test
import plantainturn.connection.engine.EngineAction
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.FenceNumber
import plantainturn.process.time.Moment
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamKind
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import kotlin.time.Duration.Companion.seconds

class MemoryLedgerConcurrencyTest {
    private val upstream = UpstreamName("u")
    private val ledger = MemoryLedger(FenceNumber(1), 5.seconds)

    init {
        val specification =
            UpstreamSpecification(
                address = "http://127.0.0.1:1",
                failureDomain = FailureDomain("d"),
                kind = UpstreamKind.ENGINE,
                memoryMegabytes = 100,
            )
        ledger.open(upstream, specification, Moment.ORIGIN)
        val report = EngineReport("i", 1, 0, FenceNumber.NONE)
        ledger.report(upstream, TimestampedReport(report, Moment.ORIGIN))
    }

    @Operation
    fun reserveLarge(): Boolean = reserve("a", 60)

    @Operation
    fun reserveOther(): Boolean = reserve("b", 50)

    @Operation
    fun freeMegabytes(): Long? = ledger.get(upstream)?.freeMegabytes

    private fun reserve(
        name: String,
        megabytes: Long,
    ): Boolean {
        val action = EngineAction.LoadModel(ModelName(name), "1", megabytes)
        return ledger.reserve(upstream, action) is ReservationResult.Reserved
    }

    @Test
    fun `concurrent reservations are linearizable`() =
        ModelCheckingOptions()
            .iterations(4)
            .invocationsPerIteration(50)
            .threads(2)
            .actorsPerThread(2)
            .check(this::class)
}
