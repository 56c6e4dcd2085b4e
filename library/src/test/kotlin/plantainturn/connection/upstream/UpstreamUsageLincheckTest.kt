package plantainturn.connection.upstream

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.request.Samples

/** Permits are neither lost nor given twice, whoever begins and ends at once. */
class UpstreamUsageLincheckTest {
    private val usage = UpstreamUsage()
    private val name = Samples.engineName(1)
    private val specification = Samples.specification(concurrency = 2)
    private val shared = checkNotNull(usage.tryBegin(name, specification, Moment.ORIGIN))

    @Operation
    fun begin(): Boolean = usage.tryBegin(name, specification, Moment.ORIGIN) != null

    @Operation
    fun endShared(): Unit = shared.end(Moment.ORIGIN, failed = false)

    @Operation
    fun inFlight(): Int = usage.read(name, specification, null, Moment.ORIGIN).inFlight

    @Test
    fun `permits are linearizable`() {
        ModelCheckingOptions()
            .threads(2)
            .actorsPerThread(2)
            .actorsBefore(0)
            .actorsAfter(1)
            .iterations(15)
            .invocationsPerIteration(200)
            .check(UpstreamUsageLincheckTest::class)
    }
}
