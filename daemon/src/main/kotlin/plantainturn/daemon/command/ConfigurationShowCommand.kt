package plantainturn.daemon.command

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import java.util.concurrent.Callable

/** Prints the configuration in force at a node. */
@Command(
    name = "show",
    description = ["Prints the configuration in force at a node, with its version."],
    mixinStandardHelpOptions = true,
)
internal class ConfigurationShowCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOptions

    override fun call(): Int = AnswerPrinter.print(operator.client().get("/configuration"))
}
