package plantainturn.benchmarks

import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import plantainturn.process.time.SystemTimerService

/** Measures the cost of reading the clock through the timer service. */
@State(Scope.Benchmark)
public open class MomentBenchmark {
    private val timer = SystemTimerService()

    /** Reads the clock once. */
    @Benchmark
    public fun readClock(): Long = timer.now().nanoseconds
}
