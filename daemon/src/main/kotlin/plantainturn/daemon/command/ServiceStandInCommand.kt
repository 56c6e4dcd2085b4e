package plantainturn.daemon.command

import kotlinx.serialization.serializer
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import plantainturn.standins.ServiceStandIn
import plantainturn.standins.ServiceStandInSettings
import java.util.concurrent.Callable

/** Runs the stand-in of a plain service. */
@Command(name = "service", description = ["Runs a stand-in of a plain service."], mixinStandardHelpOptions = true)
internal class ServiceStandInCommand : Callable<Int> {
    @Mixin
    private lateinit var runner: StandInRunner

    override fun call(): Int =
        runner.run(serializer<ServiceStandInSettings>()) { settings -> ServiceStandIn(settings).start() }
}
