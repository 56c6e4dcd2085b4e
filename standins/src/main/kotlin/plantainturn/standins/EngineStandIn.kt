package plantainturn.standins

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.collections.immutable.toPersistentList
import plantainturn.connection.engine.CacheEventsAnswer
import plantainturn.connection.engine.CompletionsBody
import plantainturn.connection.engine.EngineOrder
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.engine.GenerationRequest
import plantainturn.connection.engine.StaleFenceAnswer
import plantainturn.connection.http.HttpClients
import plantainturn.process.time.SystemTimerService
import plantainturn.process.time.TimerService
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.standins.internal.EngineCounters
import plantainturn.standins.internal.EngineMemory
import plantainturn.standins.internal.EngineOrders
import plantainturn.standins.internal.Generation
import plantainturn.standins.internal.GenerationEngine
import plantainturn.standins.internal.GenerationQueue
import plantainturn.standins.internal.HeldWeights
import plantainturn.standins.internal.LaggingReports
import plantainturn.standins.internal.PrefixCache
import plantainturn.standins.internal.StandInServer
import plantainturn.standins.internal.StreamFault
import plantainturn.standins.internal.WeightLoader
import plantainturn.standins.internal.afterMilliseconds
import plantainturn.standins.internal.answerError
import plantainturn.standins.internal.answerJson
import plantainturn.standins.internal.breakConnection
import plantainturn.standins.internal.readJson
import plantainturn.version.configuration.ModelName
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Stands in for a model engine.
 *
 * Its answers are those of [DeterministicAnswer]. It sees the truth about its memory and about what ran, which
 * `GET /standin/truth` tells.
 */
public class EngineStandIn(
    private val settings: EngineStandInSettings = EngineStandInSettings(),
) : AutoCloseable {
    private val timer = SystemTimerService(TIMER_THREADS)
    private val client = HttpClients.create()
    private val memory = EngineMemory(settings, WeightLoader(settings, timer, client))
    private val orders = EngineOrders(settings.refusesOldFences, memory, timer)
    private val cache = PrefixCache(settings, timer)
    private val queue = GenerationQueue(settings.concurrency, settings.queueLimit)
    private val counters = EngineCounters()
    private val faults = AtomicReference(EngineFaults())
    private val incarnation = AtomicReference(newIncarnation())
    private val engine = Engine()
    private val reports = LaggingReports(timer, settings.reportLagMilliseconds.milliseconds, ::takeReport)
    private val server = StandInServer(settings.host, settings.port, ::addRoutes)

    @Volatile
    private var down = false

    /** Starts the stand-in and returns its port. */
    public fun start(): Int = server.start()

    /** Crashes the engine: all connections break, memory is lost, and it is down for a while. */
    public fun crash() {
        counters.crashes.incrementAndGet()
        if (settings.haltOnCrash) Runtime.getRuntime().halt(CRASH_STATUS)
        down = true
        queue.all().forEach(Generation::abort)
        timer.schedule(settings.restartMilliseconds.milliseconds, ::restart)
    }

    override fun close() {
        queue.all().forEach(Generation::abort)
        server.close()
        timer.close()
        client.dispatcher.executorService.shutdown()
    }

    private fun restart() {
        memory.restart()
        orders.restart()
        cache.restart()
        incarnation.set(newIncarnation())
        reports.restart()
        down = false
    }

    private fun addRoutes(config: JavalinConfig) {
        config.routes.before("/v1/*", ::breakIfDown)
        config.routes.before("/engine/*", ::breakIfDown)
        config.routes.post("/v1/completions", ::generate)
        config.routes.delete("/v1/requests/{request}/{attempt}", ::cancel)
        config.routes.get("/engine/report", ::report)
        config.routes.post("/engine/orders", ::order)
        config.routes.get("/engine/cache-events", ::cacheEvents)
        config.routes.get("/engine/cache/export", ::exportCache)
        config.routes.post("/engine/cache/import", ::importCache)
        config.routes.get("/standin/truth") { it.answerJson(OK, EngineTruth.serializer(), truth()) }
        config.routes.post("/standin/faults", ::switchFaults)
        config.routes.post("/standin/crash") { context ->
            crash()
            context.status(NO_CONTENT)
        }
    }

    private fun breakIfDown(context: Context) {
        if (!down && !faults.get().silent) return
        context.skipRemainingHandlers()
        if (down) context.breakConnection() else context.future { CompletableFuture<Unit>() }
    }

    private fun generate(context: Context) {
        val request = context.readJson(CompletionsBody.serializer()).toGenerationRequest()
        val weights = if (faults.get().refuseGenerations) null else memory.acquire(request.target)
        if (weights == null) {
            refuse(context, "${request.target} is not ready here")
            return
        }
        val generation = Generation(request, context, weights, engine)
        if (!queue.submit(generation)) {
            memory.release(weights)
            refuse(context, "the queue is full")
            return
        }
        context.future { generation.done }
    }

    private fun refuse(
        context: Context,
        reason: String,
    ) {
        counters.refusedNotRun.incrementAndGet()
        context.answerError(UNAVAILABLE, reason, notRun = true)
    }

    private fun cancel(context: Context) {
        val request = RequestIdentifier(context.pathParam("request"))
        val attempt = AttemptNumber(context.pathParam("attempt").toInt())
        val found = queue.find(request, attempt)
        found.forEach(Generation::abort)
        counters.cancelled.addAndGet(found.size.toLong())
        context.status(NO_CONTENT)
    }

    private fun report(context: Context) {
        if (faults.get().reportsUnavailable) {
            context.answerError(UNAVAILABLE, "no report", notRun = true)
            return
        }
        context.future {
            timer.afterMilliseconds(faults.get().reportDelayMilliseconds).thenAccept {
                context.answerJson(OK, EngineReport.serializer(), reports.latest())
            }
        }
    }

    private fun order(context: Context) {
        val order = context.readJson(EngineOrder.serializer())
        val switched = faults.get()
        val delay = switched.orderDelayMilliseconds.milliseconds
        when {
            takeFault({ it.loseOrders }, { it.copy(loseOrders = it.loseOrders - 1) }) -> context.breakConnection()
            takeFault({ it.lateOrders }, { it.copy(lateOrders = it.lateOrders - 1) }) -> {
                timer.schedule(switched.lateMilliseconds.milliseconds) { orders.receive(order, delay) }
                context.breakConnection()
            }
            else -> takeOrder(context, order, delay)
        }
    }

    private fun takeOrder(
        context: Context,
        order: EngineOrder,
        delay: Duration,
    ) {
        val stale = orders.receive(order, delay)
        if (takeFault({ it.loseOrderAnswers }, { it.copy(loseOrderAnswers = it.loseOrderAnswers - 1) })) {
            context.breakConnection()
        } else if (stale != null) {
            context.answerJson(CONFLICT, StaleFenceAnswer.serializer(), StaleFenceAnswer(stale))
        } else {
            context.status(ACCEPTED)
        }
    }

    private fun cacheEvents(context: Context) {
        val from = context.queryParamAsClass("from", Long::class.java).getOrDefault(0)
        val answer = CacheEventsAnswer(cache.events(from).toPersistentList())
        context.answerJson(OK, CacheEventsAnswer.serializer(), answer)
    }

    private fun exportCache(context: Context) {
        val model = ModelName(context.queryParam("model").orEmpty())
        val hash = context.queryParamAsClass("prefixHash", Long::class.java).getOrDefault(0)
        val prefix = CachedPrefix(model, hash)
        if (cache.contains(prefix)) {
            context.answerJson(OK, CachedPrefix.serializer(), prefix)
        } else {
            context.answerError(NOT_FOUND, "not cached", notRun = true)
        }
    }

    private fun importCache(context: Context) {
        cache.import(context.readJson(CachedPrefix.serializer()))
        context.status(NO_CONTENT)
    }

    private fun switchFaults(context: Context) {
        faults.set(context.readJson(EngineFaults.serializer()))
        context.answerJson(OK, EngineFaults.serializer(), faults.get())
    }

    private fun takeReport(sequence: Long): EngineReport {
        val held = memory.snapshot()
        val running = queue.runningCount()
        return EngineReport(
            incarnation = incarnation.get(),
            sequence = sequence,
            ageMilliseconds = 0,
            highestFence = orders.highestFence(),
            appliedOrders = orders.latestApplied().toPersistentList(),
            residents = held.residents.toPersistentList(),
            role = held.role,
            memoryMegabytes = settings.memoryMegabytes,
            running = running,
            waiting = queue.waitingCount(),
            tokensPerSecond = running / engine.tokenDelay().inSeconds(),
        )
    }

    private fun truth(): EngineTruth {
        val held = memory.snapshot()
        return EngineTruth(
            incarnation = incarnation.get(),
            residents = held.residents,
            usedMegabytes = held.usedMegabytes,
            overcommits = held.overcommits,
            mostMegabytes = held.mostMegabytes,
            moves = held.moves,
            ordersApplied = orders.allApplied(),
            ordersFailed = orders.allFailed(),
            executions = counters.executions(),
            tokensGenerated = counters.tokens.get(),
            refusedNotRun = counters.refusedNotRun.get(),
            resumeMismatches = counters.resumeMismatches.get(),
            cancelled = counters.cancelled.get(),
            crashes = counters.crashes.get(),
            running = queue.runningCount(),
            waiting = queue.waitingCount(),
            faults = faults.get(),
        )
    }

    private fun takeFault(
        count: (EngineFaults) -> Int,
        taken: (EngineFaults) -> EngineFaults,
    ): Boolean {
        val before = faults.getAndUpdate { if (count(it) > 0) taken(it) else it }
        return count(before) > 0
    }

    private inner class Engine : GenerationEngine {
        override val settings: EngineStandInSettings get() = this@EngineStandIn.settings
        override val timer: TimerService get() = this@EngineStandIn.timer

        override fun faults(): EngineFaults = this@EngineStandIn.faults.get()

        override fun takeStreamFault(): StreamFault =
            when {
                takeFault({ it.breakStreams }, { it.copy(breakStreams = it.breakStreams - 1) }) -> StreamFault.BREAK
                takeFault({ it.silentStreams }, { it.copy(silentStreams = it.silentStreams - 1) }) ->
                    StreamFault.SILENCE
                else -> StreamFault.NONE
            }

        override fun began(generation: Generation): Boolean {
            counters.executed(generation.request.request)
            val crashes = settings.crashMarker in generation.request.prompt
            if (crashes) crash()
            return crashes
        }

        override fun firstTokenDelay(generation: Generation): Duration {
            val request: GenerationRequest = generation.request
            val uncached = request.prompt.length - cache.use(request.target, request.prompt)
            val prompt = (uncached * settings.promptMicrosecondsPerCharacter).microseconds
            return (settings.firstTokenMilliseconds.milliseconds + prompt) * faults().slowdown
        }

        override fun tokenDelay(): Duration {
            val slowed = 1 + settings.batchSlowdown * queue.load()
            return settings.tokenMilliseconds.milliseconds * slowed * faults().slowdown
        }

        override fun generated(tokens: Int) {
            counters.tokens.addAndGet(tokens.toLong())
        }

        override fun resumeMismatch() {
            counters.resumeMismatches.incrementAndGet()
        }

        override fun ended(
            generation: Generation,
            weights: HeldWeights,
        ) {
            queue.finished(generation)
            memory.release(weights)
        }
    }

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val NO_CONTENT = 204
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val UNAVAILABLE = 503
        const val CRASH_STATUS = 70
        const val TIMER_THREADS = 4

        fun newIncarnation(): String = UUID.randomUUID().toString()

        fun Duration.inSeconds(): Double = toDouble(DurationUnit.SECONDS).coerceAtLeast(SMALLEST_SECONDS)

        const val SMALLEST_SECONDS = 1e-6
    }
}
