package plantainturn.standins

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.engine.HttpModelEngine
import plantainturn.connection.engine.PromptPrefix
import plantainturn.connection.engine.Resident
import plantainturn.connection.engine.ResidentState
import plantainturn.connection.engine.TokenChunk
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.request.RequestPriority
import plantainturn.standins.internal.StandInServer
import plantainturn.version.configuration.ModelName
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(30)
class HttpModelEngineTest {
    private val settings =
        EngineStandInSettings(
            concurrency = 1,
            queueLimit = 2,
            firstTokenMilliseconds = 1,
            tokenMilliseconds = 2,
            cacheEventLagMilliseconds = 0,
            cacheEventGapEvery = 2,
            restartMilliseconds = 10,
            residents = listOf(Resident(MODEL, "1", 1_000, ResidentState.READY)),
        )
    private val standIn = EngineStandIn(settings)
    private val control = StandInClient(standIn.start())
    private val engine = HttpModelEngine(StandInClient.CLIENT, control.address)
    private val received = CopyOnWriteArrayList<TokenChunk>()

    @AfterEach
    fun stop() = standIn.close()

    @Test
    fun `a whole answer arrives token by token`() {
        assertEquals(GenerationEnd.Finished(20, "length"), generate(request()))
        assertEquals((0 until 20).toList(), received.map { it.position })
        assertEquals(ANSWER.text(0, 20), text())
        assertEquals(mapOf("request-1" to 1), truth().executions)
    }

    @Test
    fun `tokens arrive before the answer ends`() {
        control.switch(EngineFaults.serializer(), EngineFaults(silentStreams = 1, faultAfterTokens = 3))
        val first = CompletableFuture<TokenChunk>()
        val end =
            CompletableFuture.supplyAsync {
                engine.generate(request(), 20.seconds) { first.complete(it) || true }
            }
        assertEquals(0, first.get().position)
        assertTrue(!end.isDone)
        engine.cancel(RequestIdentifier("request-1"), AttemptNumber.FIRST)
        assertIs<GenerationEnd.Broken>(end.get())
    }

    @Test
    fun `a broken stream resumes to the same whole answer`() {
        control.switch(EngineFaults.serializer(), EngineFaults(breakStreams = 1))
        assertIs<GenerationEnd.Broken>(generate(request()))
        assertEquals(5, received.size)
        val resumed =
            request().copy(attempt = AttemptNumber(2), resumePosition = received.size, resumeText = text())
        assertEquals(GenerationEnd.Finished(20, "length"), generate(resumed))
        assertEquals(ANSWER.text(0, 20), text())
        assertEquals(0, truth().resumeMismatches)
    }

    @Test
    fun `a stream that falls silent is broken at the silence limit`() {
        control.switch(EngineFaults.serializer(), EngineFaults(silentStreams = 1))
        assertIs<GenerationEnd.Broken>(generate(request(), 200.milliseconds))
        assertEquals(5, received.size)
    }

    @Test
    fun `a stream that drips without tokens is broken at the silence limit`() {
        val drip = CompletableFuture<Unit>()
        val server =
            StandInServer("127.0.0.1", 0) { config ->
                config.routes.post("/v1/completions") { context ->
                    context.future { drip }
                    Thread { dripUntilBroken(context.res().outputStream) }.start()
                }
            }
        server.use {
            val dripping = HttpModelEngine(StandInClient.CLIENT, "http://127.0.0.1:${server.start()}")
            assertIs<GenerationEnd.Broken>(dripping.generate(request(), 300.milliseconds) { true })
            drip.complete(Unit)
        }
    }

    @Test
    fun `doubled and crossed chunks reach the receiver with their positions`() {
        control.switch(EngineFaults.serializer(), EngineFaults(doubleChunks = true, crossChunks = true))
        generate(request())
        assertEquals(listOf(1, 0, 1, 0, 3, 2), received.take(6).map { it.position })
        assertTrue(received.all { it.text == ANSWER.token(it.position) })
    }

    @Test
    fun `a receiver that has enough stops the attempt`() {
        assertEquals(GenerationEnd.Stopped, engine.generate(request(), 5.seconds) { it.position < 3 })
        control.awaitTruth(EngineTruth.serializer()) { it.running == 0 }
    }

    @Test
    fun `refusals that promise no run are not run`() {
        assertIs<GenerationEnd.RefusedNotRun>(generate(request().copy(target = ModelName("absent"))))
        control.switch(EngineFaults.serializer(), EngineFaults(refuseGenerations = true))
        assertIs<GenerationEnd.RefusedNotRun>(generate(request()))
        assertEquals(emptyMap(), truth().executions)
        assertEquals(2, truth().refusedNotRun)
    }

    @Test
    fun `an error that promises nothing is broken`() {
        for (status in listOf(400, 429, 500, 503)) {
            StandInServer("127.0.0.1", 0) { config ->
                config.routes.post("/v1/completions") { it.status(status).result("overloaded") }
            }.use { server ->
                val other = HttpModelEngine(StandInClient.CLIENT, "http://127.0.0.1:${server.start()}")
                assertIs<GenerationEnd.Broken>(other.generate(request(), 5.seconds) { true })
            }
        }
    }

    @Test
    fun `an engine on which nothing listens is unreachable`() {
        val absent = HttpModelEngine(StandInClient.CLIENT, closedAddress())
        assertIs<GenerationEnd.Unreachable>(absent.generate(request(), 5.seconds) { true })
    }

    @Test
    fun `a prompt that crashes the engine breaks every stream and starts it anew`() {
        val before = truth().incarnation
        assertIs<GenerationEnd.Broken>(generate(request().copy(prompt = "a <<crash>> b")))
        val after = control.awaitTruth(EngineTruth.serializer()) { it.incarnation != before }
        assertEquals(1, after.crashes)
        assertEquals(0, after.running)
    }

    @Test
    fun `waiting requests run by priority and one too many is refused`() {
        control.switch(EngineFaults.serializer(), EngineFaults(silentStreams = 1, faultAfterTokens = 1))
        val first = async("first", RequestPriority.INTERACTIVE)
        control.awaitTruth(EngineTruth.serializer()) { it.running == 1 }
        val batch = async("batch", RequestPriority.BATCH)
        control.awaitTruth(EngineTruth.serializer()) { it.waiting == 1 }
        val interactive = async("interactive", RequestPriority.INTERACTIVE)
        control.awaitTruth(EngineTruth.serializer()) { it.waiting == 2 }
        assertIs<GenerationEnd.RefusedNotRun>(generate(request("one too many")))
        engine.cancel(RequestIdentifier("first"), AttemptNumber.FIRST)
        assertIs<GenerationEnd.Broken>(first.get())
        assertIs<GenerationEnd.Finished>(interactive.get())
        assertIs<GenerationEnd.Finished>(batch.get())
        assertEquals(listOf("first", "interactive", "batch"), truth().executions.keys.toList())
    }

    @Test
    fun `cache events name the prompt's prefixes with gaps`() {
        val prompt = "p".repeat(PromptPrefix.BLOCK_CHARACTERS * 4)
        generate(request().copy(prompt = prompt))
        val hashes = PromptPrefix.hashes(MODEL, prompt)
        val events = engine.cacheEvents(0)
        assertEquals(listOf(0L, 2L), events.map { it.sequence })
        assertEquals(listOf(hashes[0], hashes[2]), events.map { it.prefixHash })
        assertEquals(listOf(2L), engine.cacheEvents(1).map { it.sequence })
    }

    private fun async(
        name: String,
        priority: RequestPriority,
    ) = CompletableFuture.supplyAsync { engine.generate(request(name).copy(priority = priority), 20.seconds) { true } }

    private fun generate(
        request: GenerationRequest,
        silenceLimit: Duration = 5.seconds,
    ) = engine.generate(request, silenceLimit) { received.add(it) }

    private fun text() = received.joinToString("") { it.text }

    private fun truth() = control.truth(EngineTruth.serializer())

    private fun request(name: String = "request-1") =
        GenerationRequest(RequestIdentifier(name), AttemptNumber.FIRST, MODEL, PROMPT, 20)

    private fun dripUntilBroken(output: java.io.OutputStream) {
        try {
            while (true) {
                output.write(":\n".encodeToByteArray())
                output.flush()
            }
        } catch (_: java.io.IOException) {
            return
        }
    }

    private companion object {
        val MODEL = ModelName("clerk")
        const val PROMPT = "Draft a return notice."
        val ANSWER = DeterministicAnswer(MODEL, PROMPT)
    }
}
