package plantainturn.daemon.command

import kotlinx.serialization.serializer
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import plantainturn.standins.VmListStandIn
import plantainturn.standins.VmListStandInSettings
import java.util.concurrent.Callable

/** Runs the stand-in of the platform's VM list. */
@Command(name = "vms", description = ["Runs a stand-in of the platform's VM list."], mixinStandardHelpOptions = true)
internal class VmListStandInCommand : Callable<Int> {
    @Mixin
    private lateinit var runner: StandInRunner

    override fun call(): Int =
        runner.run(serializer<VmListStandInSettings>()) { settings -> VmListStandIn(settings).start() }
}
