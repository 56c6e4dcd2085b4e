package plantainturn.daemon.command

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** Prints each configuration that comes in force. */
@Command(
    name = "watch",
    description = ["Prints the configuration in force at a node, then each later one, until it is interrupted."],
    mixinStandardHelpOptions = true,
)
internal class ConfigurationWatchCommand : Callable<Int> {
    @Mixin
    private lateinit var operator: OperatorOptions

    @Option(names = ["--after"], paramLabel = "VERSION", description = ["Prints only later versions than this."])
    private var after: Long = -1

    @Option(names = ["--count"], paramLabel = "NUMBER", description = ["Ends after this many configurations."])
    private var count: Int = Int.MAX_VALUE

    override fun call(): Int {
        val client = operator.client()
        var printed = 0
        while (printed < count) {
            val answer = client.get("/configuration?after=$after&waitMilliseconds=$WAIT_MILLISECONDS")
            if (answer is OperatorAnswer.Answered && answer.status == NOT_MODIFIED) continue
            val status = AnswerPrinter.print(answer)
            if (status != ExitStatus.SUCCESS) return status
            after = (answer as OperatorAnswer.Answered).version ?: return ExitStatus.FAILURE
            printed++
        }
        return ExitStatus.SUCCESS
    }

    private companion object {
        const val WAIT_MILLISECONDS = 20_000L
        const val NOT_MODIFIED = 304
    }
}
