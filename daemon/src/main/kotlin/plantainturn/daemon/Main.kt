package plantainturn.daemon

import picocli.CommandLine
import plantainturn.daemon.command.PlantainturnCommand
import plantainturn.daemon.command.RelayCommand
import kotlin.system.exitProcess

/** Runs the command line and exits with its status. */
@Suppress("SpreadOperator")
public fun main(arguments: Array<String>) {
    // The parsing of arguments and the start of a node take up to a second on a small VM.
    if (RelayCommand.NAME in arguments) HangUpSignal.keep()
    exitProcess(CommandLine(PlantainturnCommand()).execute(*arguments))
}
