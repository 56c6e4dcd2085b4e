package plantainturn.request

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

/** Guards against a request that begins after a concurrent stop has begun. */
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
