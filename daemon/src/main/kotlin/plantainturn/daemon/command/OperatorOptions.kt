package plantainturn.daemon.command

import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path

/** The options of commands that talk to a node as an operator. */
internal class OperatorOptions {
    @Option(
        names = ["--node"],
        required = true,
        paramLabel = "URL",
        description = ["The control address of a node, such as http://127.0.0.1:9000."],
    )
    lateinit var node: String

    @Option(
        names = ["--token-file"],
        paramLabel = "FILE",
        description = ["The file that holds the operators' token. Default: the environment's PLANTAINTURN_TOKEN."],
    )
    private var tokenFile: Path? = null

    /** Returns the client for the node that the options name. */
    fun client(): OperatorClient = OperatorClient(node.trimEnd('/'), token())

    private fun token(): String {
        val file = tokenFile ?: return System.getenv("PLANTAINTURN_TOKEN").orEmpty()
        return Files.readString(file).trim()
    }
}
