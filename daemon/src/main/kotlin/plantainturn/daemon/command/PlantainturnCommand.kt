package plantainturn.daemon.command

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.ParameterException

/** The root of the command line. */
@Command(
    name = "plantainturn",
    description = ["Serves many language models and adapters on few accelerators."],
    mixinStandardHelpOptions = true,
    version = ["plantainturn 0.1.0"],
    subcommands = [
        NodeCommand::class,
        RelayCommand::class,
        WarmUpCommand::class,
        StandInCommand::class,
        ConfigurationCommand::class,
        DumpCommand::class,
        CodesCommand::class,
        ReplayCommand::class,
        LoadCommand::class,
    ],
    footer = [
        "",
        "Exit status: 0 success; 1 the command failed; 2 the arguments, settings or patch are wrong.",
    ],
)
internal class PlantainturnCommand : Runnable {
    override fun run(): Unit = throw ParameterException(CommandLine(this), "Missing command")
}
