package plantainturn.daemon.command

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.ParameterException

/** Groups the commands that run stand-ins of what the system serves and depends on. */
@Command(
    name = "standin",
    description = ["Runs a stand-in of the platform or of an upstream, for tests and trials."],
    mixinStandardHelpOptions = true,
    subcommands = [
        LogStandInCommand::class,
        VmListStandInCommand::class,
        EngineStandInCommand::class,
        ServiceStandInCommand::class,
        WeightStoreStandInCommand::class,
    ],
)
internal class StandInCommand : Runnable {
    override fun run(): Unit = throw ParameterException(CommandLine(this), "Missing command")
}
