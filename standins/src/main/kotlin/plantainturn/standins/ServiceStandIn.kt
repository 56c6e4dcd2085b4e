package plantainturn.standins

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import plantainturn.connection.service.HttpPlainService
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.internal.StandInServer
import plantainturn.standins.internal.afterMilliseconds
import plantainturn.standins.internal.answerError
import plantainturn.standins.internal.answerJson
import plantainturn.standins.internal.breakConnection
import plantainturn.standins.internal.readJson
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Stands in for a plain service, such as a ledger or a booking system.
 *
 * It executes every call that reaches it, with whatever key, and counts the executions.
 */
public class ServiceStandIn(
    private val settings: ServiceStandInSettings = ServiceStandInSettings(),
) : AutoCloseable {
    private val timer = SystemTimerService()
    private val executions = AtomicLong()
    private val byKey = ConcurrentHashMap<String, Int>()
    private val byRequest = ConcurrentHashMap<String, Int>()
    private val faults = AtomicReference(ServiceFaults())
    private val server = StandInServer(settings.host, settings.port, ::addRoutes)

    /** Starts the stand-in and returns its port. */
    public fun start(): Int = server.start()

    override fun close() {
        server.close()
        timer.close()
    }

    private fun addRoutes(config: JavalinConfig) {
        config.routes.get("/standin/truth") { context ->
            val truth = ServiceTruth(executions.get(), byKey.toSortedMap(), byRequest.toSortedMap(), faults.get())
            context.answerJson(OK, ServiceTruth.serializer(), truth)
        }
        config.routes.post("/standin/faults") { context ->
            faults.set(context.readJson(ServiceFaults.serializer()))
            context.answerJson(OK, ServiceFaults.serializer(), faults.get())
        }
        config.routes.get("/health") { context -> context.result("ok") }
        config.routes.get("/<path>", ::call)
        config.routes.post("/<path>", ::call)
        config.routes.put("/<path>", ::call)
        config.routes.patch("/<path>", ::call)
        config.routes.delete("/<path>", ::call)
    }

    private fun call(context: Context) {
        val bodyBytes = context.bodyAsBytes().size
        val delay = settings.latencyMilliseconds + faults.get().delayMilliseconds
        context.future { timer.afterMilliseconds(delay).thenCompose { execute(context, bodyBytes) } }
    }

    private fun execute(
        context: Context,
        bodyBytes: Int,
    ) = when {
        takeFault({ it.crashBeforeExecution }, { it.copy(crashBeforeExecution = it.crashBeforeExecution - 1) }) ->
            timer.afterMilliseconds(0).thenAccept { crash(context) }
        faults.get().status != OK ->
            timer.afterMilliseconds(0).thenAccept {
                context.answerError(faults.get().status, "fault", notRun = true)
            }
        else -> {
            val answer = executed(context, bodyBytes)
            timer.afterMilliseconds(faults.get().answerDelayMilliseconds).thenAccept { answer(context, answer) }
        }
    }

    private fun executed(
        context: Context,
        bodyBytes: Int,
    ): ServiceAnswer {
        val key = context.header("Idempotency-Key")
        val request = context.header(HttpPlainService.REQUEST_HEADER)
        key?.let { byKey.merge(it, 1, Int::plus) }
        request?.let { byRequest.merge(it, 1, Int::plus) }
        val execution = executions.incrementAndGet()
        return ServiceAnswer(
            settings.name,
            execution,
            context.method().name,
            context.path(),
            key,
            request,
            bodyBytes,
        )
    }

    private fun answer(
        context: Context,
        answer: ServiceAnswer,
    ) {
        if (takeFault({ it.crashAfterExecution }, { it.copy(crashAfterExecution = it.crashAfterExecution - 1) })) {
            crash(context)
            return
        }
        context.answerJson(OK, ServiceAnswer.serializer(), answer)
    }

    private fun crash(context: Context) {
        if (settings.haltOnCrash) Runtime.getRuntime().halt(CRASH_STATUS)
        context.breakConnection()
    }

    private fun takeFault(
        count: (ServiceFaults) -> Int,
        taken: (ServiceFaults) -> ServiceFaults,
    ): Boolean {
        val before = faults.getAndUpdate { if (count(it) > 0) taken(it) else it }
        return count(before) > 0
    }

    private companion object {
        const val OK = 200
        const val CRASH_STATUS = 70
    }
}
