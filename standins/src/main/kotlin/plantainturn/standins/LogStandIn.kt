package plantainturn.standins

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import plantainturn.connection.log.AppendAnswer
import plantainturn.connection.log.ExpiredAnswer
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.LogRecord
import plantainturn.connection.log.ReadAnswer
import plantainturn.connection.log.ReadResult
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.internal.LogStream
import plantainturn.standins.internal.StandInServer
import plantainturn.standins.internal.after
import plantainturn.standins.internal.afterMilliseconds
import plantainturn.standins.internal.answerError
import plantainturn.standins.internal.answerJson
import plantainturn.standins.internal.breakConnection
import plantainturn.standins.internal.readJson
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

/** Stands in for the platform's append-only log. It keeps everything in memory. */
public class LogStandIn(
    private val settings: LogStandInSettings = LogStandInSettings(),
) : AutoCloseable {
    private val timer = SystemTimerService()
    private val streams = ConcurrentHashMap<String, LogStream>()
    private val reads = AtomicLong()
    private val faults = AtomicReference(LogFaults())
    private val outageEnd = AtomicReference(CompletableFuture<Unit>())
    private val server = StandInServer(settings.host, settings.port, ::addRoutes)

    /** Starts the stand-in and returns its port. */
    public fun start(): Int = server.start()

    override fun close() {
        endOutage()
        server.close()
        timer.close()
    }

    private fun addRoutes(config: JavalinConfig) {
        config.routes.post("/streams/{stream}/records", ::append)
        config.routes.get("/streams/{stream}/records", ::read)
        config.routes.get("/standin/truth", ::truth)
        config.routes.post("/standin/faults", ::switchFaults)
    }

    private fun append(context: Context) {
        val record = context.readJson(LogRecord.serializer())
        val name = context.pathParam("stream")
        context.future {
            served(context, name).thenAccept { served ->
                if (served) appendServed(context, name, record)
            }
        }
    }

    private fun appendServed(
        context: Context,
        name: String,
        record: LogRecord,
    ) {
        if (takeFault(name, { it.lateAppends }, { it.copy(lateAppends = it.lateAppends - 1) })) {
            timer.schedule(faults.get().lateMilliseconds.milliseconds) { stream(name).append(record, timer.now()) }
            context.breakConnection()
            return
        }
        val offset = stream(name).append(record, timer.now())
        if (takeFault(name, { it.loseAnswers }, { it.copy(loseAnswers = it.loseAnswers - 1) })) {
            context.breakConnection()
            return
        }
        context.answerJson(CREATED, AppendAnswer.serializer(), AppendAnswer(offset))
    }

    private fun read(context: Context) {
        val name = context.pathParam("stream")
        val from = LogOffset(context.queryParamAsClass("from", Long::class.java).getOrDefault(0))
        val limit = context.queryParamAsClass("limit", Int::class.java).getOrDefault(DEFAULT_LIMIT)
        val wait = context.queryParamAsClass("waitMilliseconds", Long::class.java).getOrDefault(0)
        reads.incrementAndGet()
        context.future {
            served(context, name)
                .thenCompose { served -> if (served) awaitRecord(name, from, wait) else completed(false) }
                .thenCompose { served -> if (served) served(context, name) else completed(false) }
                .thenAccept { served -> if (served) answerRead(context, stream(name).read(from, limit, timer.now())) }
        }
    }

    private fun awaitRecord(
        name: String,
        from: LogOffset,
        waitMilliseconds: Long,
    ): CompletableFuture<Boolean> {
        val arrival = stream(name).awaitRecord(from)
        val limit = timer.after(waitMilliseconds.milliseconds)
        return CompletableFuture.anyOf(arrival, limit).thenApply {
            stream(name).forget(arrival)
            true
        }
    }

    private fun answerRead(
        context: Context,
        result: ReadResult,
    ) {
        when (result) {
            is ReadResult.Records ->
                context.answerJson(OK, ReadAnswer.serializer(), ReadAnswer(result.records, result.end))
            is ReadResult.Expired -> context.answerJson(GONE, ExpiredAnswer.serializer(), ExpiredAnswer(result.oldest))
            is ReadResult.Unavailable -> context.answerError(UNAVAILABLE, result.reason, notRun = true)
        }
    }

    /** Applies delay and outage; the future tells whether the call is to be served. */
    private fun served(
        context: Context,
        stream: String,
    ): CompletableFuture<Boolean> {
        if (!affected(stream)) return completed(true)
        return timer.afterMilliseconds(faults.get().delayMilliseconds).thenCompose { servedNow(context) }
    }

    private fun servedNow(context: Context): CompletableFuture<Boolean> =
        when (faults.get().outage) {
            OutageMode.NONE -> completed(true)
            OutageMode.REFUSING -> {
                context.answerError(UNAVAILABLE, "outage", notRun = true)
                completed(false)
            }
            OutageMode.BREAKING -> {
                context.breakConnection()
                completed(false)
            }
            OutageMode.SILENT ->
                outageEnd.get().thenApply {
                    context.breakConnection()
                    false
                }
        }

    private fun takeFault(
        stream: String,
        count: (LogFaults) -> Int,
        taken: (LogFaults) -> LogFaults,
    ): Boolean {
        if (!affected(stream)) return false
        val before = faults.getAndUpdate { if (count(it) > 0) taken(it) else it }
        return count(before) > 0
    }

    private fun affected(stream: String): Boolean {
        val only = faults.get().onlyStreams
        return only.isEmpty() || stream in only
    }

    private fun switchFaults(context: Context) {
        faults.set(context.readJson(LogFaults.serializer()))
        if (faults.get().outage != OutageMode.SILENT) endOutage()
        context.answerJson(OK, LogFaults.serializer(), faults.get())
    }

    private fun endOutage() {
        outageEnd.getAndSet(CompletableFuture()).complete(Unit)
    }

    private fun truth(context: Context) {
        val held = streams.entries.associate { (name, stream) -> name to stream.truth() }
        context.answerJson(OK, LogTruth.serializer(), LogTruth(held, reads.get(), faults.get()))
    }

    private fun stream(name: String): LogStream = streams.computeIfAbsent(name) { LogStream(settings) }

    private fun completed(value: Boolean): CompletableFuture<Boolean> = CompletableFuture.completedFuture(value)

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val GONE = 410
        const val UNAVAILABLE = 503
        const val DEFAULT_LIMIT = 100
    }
}
