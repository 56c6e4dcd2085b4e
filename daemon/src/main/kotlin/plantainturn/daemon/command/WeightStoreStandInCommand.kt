package plantainturn.daemon.command

import kotlinx.serialization.serializer
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import plantainturn.standins.WeightStoreStandIn
import plantainturn.standins.WeightStoreStandInSettings
import java.util.concurrent.Callable

/** Runs the stand-in of the weight store. */
@Command(name = "weight-store", description = ["Runs a stand-in of the weight store."], mixinStandardHelpOptions = true)
internal class WeightStoreStandInCommand : Callable<Int> {
    @Mixin
    private lateinit var runner: StandInRunner

    override fun call(): Int =
        runner.run(serializer<WeightStoreStandInSettings>()) { settings -> WeightStoreStandIn(settings).start() }
}
