package plantainturn.daemon.command

import kotlinx.serialization.serializer
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import plantainturn.standins.EngineStandIn
import plantainturn.standins.EngineStandInSettings
import java.util.concurrent.Callable

/** Runs the stand-in of a model engine. */
@Command(name = "engine", description = ["Runs a stand-in of a model engine."], mixinStandardHelpOptions = true)
internal class EngineStandInCommand : Callable<Int> {
    @Mixin
    private lateinit var runner: StandInRunner

    override fun call(): Int =
        runner.run(serializer<EngineStandInSettings>()) { settings -> EngineStandIn(settings).start() }
}
