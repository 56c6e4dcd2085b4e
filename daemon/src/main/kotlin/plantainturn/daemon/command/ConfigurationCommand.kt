package plantainturn.daemon.command

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.ParameterException

/** Groups the commands that read and change the configuration. */
@Command(
    name = "configuration",
    description = ["Reads and changes the configuration."],
    mixinStandardHelpOptions = true,
    subcommands = [
        ConfigurationShowCommand::class,
        ConfigurationPatchCommand::class,
        ConfigurationWatchCommand::class,
        ConfigurationCheckCommand::class,
    ],
)
internal class ConfigurationCommand : Runnable {
    override fun run(): Unit = throw ParameterException(CommandLine(this), "Missing command")
}
