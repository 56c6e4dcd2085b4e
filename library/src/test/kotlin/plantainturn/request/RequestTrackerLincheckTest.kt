package plantainturn.request

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** No request begins after a stop has begun, whoever comes first. */
class RequestTrackerLincheckTest {
    private val tracker = RequestTracker()

    @Operation
    fun tryBegin(): Boolean = tracker.tryBegin()

    @Operation
    fun beginStop(): Unit = tracker.beginStop()

    @Operation
    fun inFlight(): Int = tracker.inFlight

    @Test
    fun `begins and stops are linearizable`() {
        ModelCheckingOptions()
            .threads(2)
            .actorsPerThread(2)
            .actorsBefore(0)
            .actorsAfter(1)
            .iterations(15)
            .invocationsPerIteration(200)
            .check(RequestTrackerLincheckTest::class)
    }
}
