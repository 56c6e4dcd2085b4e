package plantainturn.request.completion

import kotlinx.collections.immutable.persistentListOf
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import plantainturn.connection.engine.CacheEvent
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReportResult
import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.engine.ModelEngine
import plantainturn.connection.engine.OrderResult
import plantainturn.connection.engine.TokenChunk
import plantainturn.connection.engine.TokenReceiver
import plantainturn.process.Outcome
import plantainturn.process.ResultCode
import plantainturn.process.time.VirtualTimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.FakeConfigurationSource
import plantainturn.request.FakeUpstreamDirectory
import plantainturn.request.RequestIdentifier
import plantainturn.request.RequestPriority
import plantainturn.request.RequestResources
import plantainturn.request.Samples
import plantainturn.request.quarantine.CrashEvidence
import plantainturn.request.quarantine.CrashVerdict
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class CompletionCoordinatorTest {
    private val timer = VirtualTimerService()
    private val resources = RequestResources(timer)
    private val attempts = mutableListOf<Pair<UpstreamName, GenerationRequest>>()
    private val answer = mutableListOf<String>()
    private val identifier = RequestIdentifier("r")
    private val crashed = mutableSetOf<UpstreamName>()

    @Property(seed = "43", tries = 3_000)
    fun `an answer is complete and a request reported as not run did not run`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val streams = FaultyTokenStreams(random, identifier)
        var runs = 0
        val texts = mutableListOf<String>()
        val coordinator =
            coordinator(engines = 4, random) { _, request, receiver ->
                when (random.nextInt(6)) {
                    0, 1 -> GenerationEnd.RefusedNotRun("full")
                    2 -> GenerationEnd.Unreachable("gone")
                    else -> streams.run(request.attempt, request.resumePosition, receiver).also { runs += 1 }
                }
            }
        val result = coordinator.handle(request()) { position, text -> position == texts.size && texts.add(text) }
        if (result.code.outcome == Outcome.NOT_RUN) assertEquals(0, runs, result.code.name)
        if (result is CompletionResult.Answered) assertEquals(streams.claimedTotal, texts.size)
        assertEquals(streams.answer.take(texts.size), texts)
    }

    @Test
    fun `a broken answer is resumed at another upstream after the last token received`() {
        val coordinator =
            coordinator(engines = 2) { _, request, receiver ->
                val last = if (request.attempt == AttemptNumber.FIRST) 1 else 3
                (request.resumePosition..last).forEach { receiver.receive(chunk(request, it)) }
                if (last == 3) GenerationEnd.Finished(4, "stop") else GenerationEnd.Broken("cut")
            }
        assertEquals(CompletionResult.Answered(4, "stop"), coordinator.handle(request(), ::take))
        assertEquals(listOf("t0", "t1", "t2", "t3"), answer)
        assertEquals(listOf(0 to "", 2 to "t0t1"), attempts.map { it.second.resumePosition to it.second.resumeText })
        assertEquals(2, attempts.map { it.first }.toSet().size)
    }

    @Test
    fun `a request that crashes its upstreams crashes at most two, however often it is sent`() {
        val coordinator =
            coordinator(engines = 5) { name, _, _ ->
                crashed += name
                GenerationEnd.Broken("crash")
            }
        val codes = List(4) { coordinator.handle(request(), ::take).code }
        assertEquals(listOf(ResultCode.OUTCOME_UNKNOWN) + List(3) { ResultCode.QUARANTINED }, codes)
        assertEquals(2, attempts.map { it.first }.toSet().size)
    }

    @Test
    fun `a request sent to upstreams that had crashed before is answered by another one and not quarantined`() {
        crashed += listOf(Samples.engineName(1), Samples.engineName(2))
        val coordinator =
            coordinator(engines = 3) { name, request, receiver ->
                if (name in crashed) {
                    GenerationEnd.Broken("the connection broke")
                } else {
                    (request.resumePosition..1).forEach { receiver.receive(chunk(request, it)) }
                    GenerationEnd.Finished(2, "stop")
                }
            }
        repeat(20) {
            answer.clear()
            assertEquals(ResultCode.ANSWERED, coordinator.handle(request(), ::take).code)
        }
        assertEquals(emptyList(), resources.quarantine.snapshot().filter { it.quarantined })
    }

    @Test
    fun `a suspect in flight elsewhere is sent to the upstreams already at risk and not refused`() {
        val suspect = RequestFingerprint.of(Samples.model, request().prompt)
        resources.quarantine.broke(suspect, CrashEvidence(Samples.engineName(1), "first")) { CrashVerdict.CONFIRMED }
        resources.quarantine.tryBegin(suspect, Samples.engineName(2))
        val coordinator = coordinator(engines = 8) { _, _, _ -> GenerationEnd.RefusedNotRun("full") }
        assertEquals(ResultCode.RETRIES_EXHAUSTED_NOT_RUN, coordinator.handle(request(), ::take).code)
        assertEquals(
            emptySet(),
            attempts.map { it.first }.toSet() - setOf(Samples.engineName(1), Samples.engineName(2)),
        )
    }

    @Test
    fun `requests refused before they run get the matching result codes`() {
        val none = coordinator(engines = 0) { _, _, _ -> error("not called") }
        assertEquals(ResultCode.NO_UPSTREAM, none.handle(request(), ::take).code)
        assertEquals(ResultCode.MODEL_UNKNOWN, none.handle(request(target = ModelName("x")), ::take).code)
        assertEquals(
            ResultCode.DEADLINE_PASSED_IN_QUEUE,
            none.handle(request(limit = Duration.ZERO), ::take).code,
        )
        resources.tracker.beginStop()
        assertEquals(ResultCode.STOPPING, none.handle(request(), ::take).code)
    }

    @Test
    fun `the deadline ends an answer in progress at once`() {
        val coordinator =
            coordinator(engines = 2) { _, request, receiver ->
                receiver.receive(chunk(request, 0))
                timer.advance(10.seconds)
                if (receiver.receive(chunk(request, 1))) error("went on") else GenerationEnd.Stopped
            }
        assertEquals(ResultCode.DEADLINE_PASSED, coordinator.handle(request(limit = 9.seconds), ::take).code)
        assertEquals(1, attempts.size)
    }

    @Test
    fun `an exception releases the permit and the request count`() {
        val coordinator = coordinator(engines = 1) { _, _, _ -> error("fault") }
        assertEquals(ResultCode.INTERNAL_FAULT, coordinator.handle(request(), ::take).code)
        val use = resources.usage.read(Samples.engineName(1), Samples.specification(), null, timer.now())
        assertEquals(0, use.inFlight)
        assertEquals(0, resources.tracker.inFlight)
    }

    @Test
    fun `a caller that disconnects ends the request`() {
        val coordinator =
            coordinator(engines = 2) { _, request, receiver ->
                assertEquals(false, receiver.receive(chunk(request, 0)))
                GenerationEnd.Stopped
            }
        assertIs<CompletionResult.Unanswered>(coordinator.handle(request()) { _, _ -> false })
        assertEquals(1, attempts.size)
    }

    private fun take(
        position: Int,
        text: String,
    ): Boolean {
        assertEquals(answer.size, position)
        return answer.add(text)
    }

    private fun chunk(
        request: GenerationRequest,
        position: Int,
    ) = TokenChunk(request.request, request.attempt, position, "t$position")

    private fun request(
        target: ModelName = Samples.model,
        limit: Duration = 30.seconds,
    ) = CompletionRequest(
        identifier = identifier,
        team = Samples.team,
        target = target,
        prompt = "why does the bellows leak",
        maximumTokens = 100,
        priority = RequestPriority.INTERACTIVE,
        receivedAt = timer.now(),
        deadline = timer.now() + limit,
    )

    private fun coordinator(
        engines: Int,
        random: Random = Random(1),
        generate: (UpstreamName, GenerationRequest, TokenReceiver) -> GenerationEnd,
    ) = CompletionCoordinator(
        configuration = FakeConfigurationSource(Samples.configuration()),
        directory = FakeUpstreamDirectory(Samples.views((1..engines).map { Samples.engineView(it) })),
        engines = { name, _ -> FakeEngine(name, generate) },
        timer = timer,
        random = random,
        resources = resources,
    )

    private inner class FakeEngine(
        private val name: UpstreamName,
        private val run: (UpstreamName, GenerationRequest, TokenReceiver) -> GenerationEnd,
    ) : ModelEngine {
        override fun generate(
            request: GenerationRequest,
            silenceLimit: Duration,
            receiver: TokenReceiver,
        ): GenerationEnd {
            attempts += name to request
            return run(name, request, receiver)
        }

        override fun cancel(
            request: RequestIdentifier,
            attempt: AttemptNumber,
        ) = Unit

        override fun report(): EngineReportResult =
            if (name in
                crashed
            ) {
                EngineReportResult.Unavailable("crashed")
            } else {
                EngineReportResult.Reported(Samples.report())
            }

        override fun order(order: EngineOrder): OrderResult = OrderResult.Unknown("not used")

        override fun cacheEvents(from: Long) = persistentListOf<CacheEvent>()
    }
}
