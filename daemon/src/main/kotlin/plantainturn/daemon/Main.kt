package plantainturn.daemon

import picocli.CommandLine
import plantainturn.daemon.command.PlantainturnCommand
import kotlin.system.exitProcess

/** Runs the command line and exits with its status. */
@Suppress("SpreadOperator")
public fun main(arguments: Array<String>) {
    exitProcess(CommandLine(PlantainturnCommand()).execute(*arguments))
}
