package plantainturn.daemon.command

import kotlinx.serialization.serializer
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import plantainturn.standins.LogStandIn
import plantainturn.standins.LogStandInSettings
import java.util.concurrent.Callable

/** Runs the stand-in of the platform's append-only log. */
@Command(
    name = "log",
    description = ["Runs a stand-in of the platform's append-only log."],
    mixinStandardHelpOptions = true,
)
internal class LogStandInCommand : Callable<Int> {
    @Mixin
    private lateinit var runner: StandInRunner

    override fun call(): Int = runner.run(serializer<LogStandInSettings>()) { settings -> LogStandIn(settings).start() }
}
