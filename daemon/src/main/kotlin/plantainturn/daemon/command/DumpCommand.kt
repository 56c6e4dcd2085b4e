package plantainturn.daemon.command

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Prints the state of a node. */
@Command(
    name = "dump",
    description = ["Prints the state of a node as JSON, with the reason why each model is where it is."],
    mixinStandardHelpOptions = true,
)
internal class DumpCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOptions

    @Option(names = ["--section"], paramLabel = "NAME", description = ["Prints only this section."])
    private var section: String? = null

    override fun call(): Int = AnswerPrinter.print(operator.client().get(path()))

    private fun path(): String = section?.let { "/dump?section=$it" } ?: "/dump"
}
