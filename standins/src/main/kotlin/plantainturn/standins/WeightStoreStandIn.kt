package plantainturn.standins

import io.javalin.config.JavalinConfig
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.internal.StandInServer
import plantainturn.standins.internal.WeightStoreAdmission
import plantainturn.standins.internal.answerError
import plantainturn.standins.internal.answerJson
import plantainturn.standins.internal.breakConnection
import plantainturn.standins.internal.readJson
import java.util.concurrent.atomic.AtomicReference

/**
 * Stands in for the weight store: `POST /loads` admits a load and tells how long it takes.
 *
 * Loads beyond the rate wait, and loads beyond the number in flight take proportionally longer.
 */
public class WeightStoreStandIn(
    settings: WeightStoreStandInSettings = WeightStoreStandInSettings(),
) : AutoCloseable {
    private val timer = SystemTimerService(1)
    private val admission = WeightStoreAdmission(settings)
    private val faults = AtomicReference(OutageFaults())
    private val server = StandInServer(settings.host, settings.port, ::addRoutes)

    /** Starts the stand-in and returns its port. */
    public fun start(): Int = server.start()

    override fun close() {
        server.close()
        timer.close()
    }

    private fun addRoutes(config: JavalinConfig) {
        config.routes.post("/loads") { context ->
            val request = context.readJson(WeightLoadRequest.serializer())
            when (faults.get().outage) {
                OutageMode.NONE -> {
                    val admitted = admission.admit(request.adapter, timer.now())
                    context.answerJson(OK, WeightLoadAdmission.serializer(), admitted)
                }
                OutageMode.REFUSING -> context.answerError(UNAVAILABLE, "outage", notRun = true)
                OutageMode.BREAKING, OutageMode.SILENT -> context.breakConnection()
            }
        }
        config.routes.get("/standin/truth") { context ->
            context.answerJson(OK, WeightStoreTruth.serializer(), admission.truth())
        }
        config.routes.post("/standin/faults") { context ->
            faults.set(context.readJson(OutageFaults.serializer()))
            context.answerJson(OK, OutageFaults.serializer(), faults.get())
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
