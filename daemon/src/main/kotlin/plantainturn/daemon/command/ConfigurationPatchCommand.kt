package plantainturn.daemon.command

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID
import java.util.concurrent.Callable

/** Submits a configuration patch. */
@Command(
    name = "patch",
    description = [
        "Submits a JSON merge patch (RFC 7396) against a version of the configuration.",
        "A patch whose fate is unknown is sent again with the same --identifier; it takes effect at most once.",
    ],
    mixinStandardHelpOptions = true,
)
internal class ConfigurationPatchCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOptions

    @Option(
        names = ["--against"],
        paramLabel = "VERSION",
        description = ["The version that the patch was made against. Default: the node's version."],
    )
    private var against: Long? = null

    @Option(
        names = ["--identifier"],
        paramLabel = "TEXT",
        description = ["Names the patch when it is sent again. Default: a new one, printed on failure."],
    )
    private var identifier: String = UUID.randomUUID().toString()

    @Parameters(paramLabel = "FILE", description = ["The file that holds the patch."])
    private lateinit var file: Path

    override fun call(): Int {
        val patch =
            try {
                Files.readString(file)
            } catch (exception: IOException) {
                System.err.println("plantainturn: $file cannot be read: ${exception.message}")
                return ExitStatus.USAGE
            }
        val client = operator.client()
        val version = against ?: versionOf(client) ?: return AnswerPrinter.fail("the node's version cannot be read")
        return report(client.patch(patch, version, identifier))
    }

    private fun versionOf(client: OperatorClient): Long? =
        (client.get("/configuration") as? OperatorAnswer.Answered)?.version

    private fun report(answer: OperatorAnswer): Int {
        val status = AnswerPrinter.print(answer)
        if (status == ExitStatus.SUCCESS) return status
        if (answer is OperatorAnswer.Answered && answer.status in WRONG_PATCH) return ExitStatus.USAGE
        System.err.println("plantainturn: the patch's identifier is $identifier")
        return status
    }

    private companion object {
        val WRONG_PATCH = setOf(400, 422)
    }
}
