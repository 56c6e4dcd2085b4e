package plantainturn.benchmarks

import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.RequestPriority
import plantainturn.request.admission.AdmissionListener
import plantainturn.request.admission.AdmissionQueue
import plantainturn.request.admission.AdmissionRefusal
import plantainturn.request.admission.AdmissionTicket
import plantainturn.request.admission.DemandMeter
import plantainturn.request.admission.StartResult
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.TeamName
import plantainturn.version.configuration.UpstreamName
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.hours

/** Measures what one request costs in admission, demand measurement and quarantine. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public open class AdmissionBenchmark {
    private val timer = VirtualTimerService()
    private val queue = AdmissionQueue(timer)
    private val waitingQueue = AdmissionQueue(timer)
    private val demand = DemandMeter()
    private val quarantine = QuarantineRegister(timer)
    private val models = List(340) { ModelName("model-$it") }
    private val upstream = UpstreamName("server-1")
    private val room = Room()
    private var next = 0

    init {
        room.open = false
        repeat(WAITING) { waitingQueue.submit(ticket(it % TEAMS, models[0]), room) }
        room.open = true
    }

    /** Admits a request that need not wait. */
    @Benchmark
    public fun admitAtOnce(): Int {
        queue.submit(ticket(0, nextModel()), room)
        return room.started
    }

    /** Adds a request to a line of 256 requests of 16 teams and starts the one whose turn it is. */
    @Benchmark
    public fun admitAfterWaiting(): Int {
        room.open = false
        waitingQueue.submit(ticket(next++ % TEAMS, models[0]), room)
        room.turns = 1
        waitingQueue.startWaitingRequests()
        room.open = true
        return room.started
    }

    /** Counts one request's arrival. */
    @Benchmark
    public fun recordDemand(): Unit = demand.recordArrival(nextModel(), timer.now())

    /** Fingerprints a prompt of 2,048 characters and counts its attempt in and out. */
    @Benchmark
    public fun passQuarantine(): Boolean {
        val fingerprint = RequestFingerprint.of(models[0], PROMPT)
        val begun = quarantine.tryBegin(fingerprint, upstream)
        quarantine.succeeded(fingerprint, upstream)
        return begun
    }

    private fun nextModel(): ModelName {
        next = (next + 1) % models.size
        return models[next]
    }

    private fun ticket(
        team: Int,
        target: ModelName,
    ): AdmissionTicket =
        AdmissionTicket(
            target = target,
            team = TeamName("team-$team"),
            share = 1,
            waitingLimit = WAITING,
            priority = RequestPriority.INTERACTIVE,
            latestStart = timer.now() + 10_000.hours,
        )

    private class Room : AdmissionListener {
        var open = true
        var turns = 0
        var started = 0

        override fun tryStart(): StartResult {
            if (!open && turns == 0) return StartResult.Busy
            if (turns > 0) turns -= 1
            started += 1
            return StartResult.Started
        }

        override fun refused(refusal: AdmissionRefusal): Unit = error(refusal.detail)
    }

    private companion object {
        const val WAITING = 256
        const val TEAMS = 16
        val PROMPT = "x".repeat(2_048)
    }
}
