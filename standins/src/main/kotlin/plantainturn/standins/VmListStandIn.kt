package plantainturn.standins

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.builtins.ListSerializer
import plantainturn.connection.vm.VmEntry
import plantainturn.connection.vm.VmListAnswer
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.internal.StandInServer
import plantainturn.standins.internal.afterMilliseconds
import plantainturn.standins.internal.answerError
import plantainturn.standins.internal.answerJson
import plantainturn.standins.internal.breakConnection
import plantainturn.standins.internal.readJson
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds

/** Stands in for the platform's list of VMs. `PUT /standin/vms` sets the VMs, which the list shows with a lag. */
public class VmListStandIn(
    private val settings: VmListStandInSettings = VmListStandInSettings(),
) : AutoCloseable {
    private val timer = SystemTimerService()
    private val vms = AtomicReference(settings.vms)
    private val listed = AtomicReference(settings.vms)
    private val faults = AtomicReference(OutageFaults())
    private val server = StandInServer(settings.host, settings.port, ::addRoutes)

    /** Starts the stand-in and returns its port. */
    public fun start(): Int = server.start()

    override fun close() {
        server.close()
        timer.close()
    }

    private fun addRoutes(config: JavalinConfig) {
        config.routes.get("/vms") { context ->
            context.future { timer.afterMilliseconds(faults.get().delayMilliseconds).thenAccept { list(context) } }
        }
        config.routes.put("/standin/vms", ::replace)
        config.routes.post("/standin/vms", ::merge)
        config.routes.get("/standin/truth") { context ->
            val truth = VmListTruth(vms.get(), listed.get(), faults.get())
            context.answerJson(OK, VmListTruth.serializer(), truth)
        }
        config.routes.post("/standin/faults") { context ->
            faults.set(context.readJson(OutageFaults.serializer()))
            context.answerJson(OK, OutageFaults.serializer(), faults.get())
        }
    }

    private fun list(context: Context) {
        when (faults.get().outage) {
            OutageMode.NONE ->
                context.answerJson(OK, VmListAnswer.serializer(), VmListAnswer(listed.get().toPersistentList()))
            OutageMode.REFUSING -> context.answerError(UNAVAILABLE, "outage", notRun = true)
            OutageMode.BREAKING, OutageMode.SILENT -> context.breakConnection()
        }
    }

    private fun replace(context: Context) {
        val given = context.readJson(ListSerializer(VmEntry.serializer()))
        change(context) { given }
    }

    /** Adds the given VMs, or replaces those of the same address. */
    private fun merge(context: Context) {
        val given = context.readJson(ListSerializer(VmEntry.serializer()))
        val addresses = given.map { it.address }.toSet()
        change(context) { current -> current.filterNot { it.address in addresses } + given }
    }

    private fun change(
        context: Context,
        change: (List<VmEntry>) -> List<VmEntry>,
    ) {
        val changed = vms.updateAndGet(change)
        timer.schedule(settings.lagMilliseconds.milliseconds) { listed.set(changed) }
        context.answerJson(OK, ListSerializer(VmEntry.serializer()), changed)
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
