package plantainturn.request.admission

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import plantainturn.process.Outcome
import plantainturn.process.ResultCode
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.RequestPriority
import plantainturn.request.Samples
import plantainturn.version.configuration.TeamName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionQueueTest {
    private val timer = VirtualTimerService()
    private val queue = AdmissionQueue(timer)
    private var capacity = 0

    @Test
    fun `a waiting request starts when capacity is released`() {
        val listener = submit()
        capacity = 1
        queue.startWaitingRequests()
        assertEquals(listOf("started"), listener.results)
    }

    @Test
    fun `a waiting request is refused at the moment its deadline passes`() {
        val listener = submit(limit = 3.seconds)
        timer.advance(2_999.milliseconds)
        assertEquals(listOf(), listener.results)
        timer.advance(1.milliseconds)
        assertEquals(listOf("DEADLINE_PASSED_IN_QUEUE"), listener.results)
        assertEquals(0, queue.waiting(Samples.model))
    }

    @Test
    fun `a request that can't be started in time is refused immediately with a retry delay`() {
        repeat(10) { submit(limit = 100.seconds) }
        startOnePerSecond(3)
        val refused = submit(limit = 4.seconds)
        assertEquals(listOf("OVERLOADED"), refused.results)
        assertTrue(assertNotNull(refused.retryAfter) in 2.seconds..6.seconds, refused.retryAfter.toString())
        assertEquals(listOf(), submit(limit = 30.seconds).results)
    }

    @Test
    fun `a team's waiting requests are limited over all models`() {
        repeat(2) { submit(waitingLimit = 2) }
        assertEquals(listOf("TEAM_LIMIT_REACHED"), submit(waitingLimit = 2).results)
        assertEquals(listOf(), submit(team = "other", waitingLimit = 2).results)
    }

    @Property(seed = "47", tries = 500)
    fun `each request is started or refused as not run, exactly once and by its deadline`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val timer = VirtualTimerService()
        val queue = AdmissionQueue(timer)
        var capacity = 2
        val listeners = mutableListOf<Listener>()
        repeat(60) {
            val limit = random.nextInt(1, 3_000).milliseconds
            val listener = Listener { (capacity > 0).also { free -> if (free) capacity -= 1 } }
            listeners += listener
            queue.submit(ticket(timer, limit, random.nextInt(3), random.nextBoolean()), listener)
            timer.advance(random.nextInt(200).milliseconds)
            if (random.nextInt(3) == 0) capacity += 1
            if (random.nextBoolean()) queue.startWaitingRequests()
        }
        timer.advance(3.seconds)
        listeners.forEach { assertEquals(1, it.results.size) }
        assertEquals(0, queue.waiting(Samples.model))
        assertTrue(listeners.mapNotNull { it.code }.all { it.outcome == Outcome.NOT_RUN })
    }

    private fun startOnePerSecond(count: Int) {
        repeat(count) {
            timer.advance(1.seconds)
            capacity = 1
            queue.startWaitingRequests()
        }
    }

    private fun submit(
        limit: Duration = 10.seconds,
        team: String = "desk",
        waitingLimit: Int = 100,
    ): Listener {
        val listener = Listener { (capacity > 0).also { free -> if (free) capacity -= 1 } }
        queue.submit(ticket(timer, limit, 0, batch = false, team, waitingLimit), listener)
        return listener
    }

    private fun ticket(
        timer: VirtualTimerService,
        limit: Duration,
        number: Int,
        batch: Boolean,
        team: String = "team-$number",
        waitingLimit: Int = 10,
    ) = AdmissionTicket(
        target = Samples.model,
        team = TeamName(team),
        share = 1 + number,
        waitingLimit = waitingLimit,
        priority = if (batch) RequestPriority.BATCH else RequestPriority.INTERACTIVE,
        latestStart = timer.now() + limit,
    )

    private class Listener(
        private val takeCapacity: () -> Boolean,
    ) : AdmissionListener {
        val results = mutableListOf<String>()
        var retryAfter: Duration? = null
        var code: ResultCode? = null

        override fun tryStart(): StartResult {
            if (!takeCapacity()) return StartResult.Busy
            results += "started"
            return StartResult.Started
        }

        override fun refused(refusal: AdmissionRefusal) {
            results += refusal.code.name
            code = refusal.code
            retryAfter = refusal.retryAfter
        }
    }
}
