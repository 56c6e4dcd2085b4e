package plantainturn.daemon.command

import picocli.CommandLine.Command
import plantainturn.process.ResultCode
import java.util.concurrent.Callable

/** Prints the table of result codes. */
@Command(
    name = "codes",
    description = ["Prints the numbered result codes as a Markdown table."],
    mixinStandardHelpOptions = true,
)
internal class CodesCommand : Callable<Int> {
    override fun call(): Int {
        print(table())
        return ExitStatus.SUCCESS
    }

    companion object {
        /** Returns the table as it stands in `docs/RESULT-CODES.md`. */
        fun table(): String {
            val rows =
                ResultCode.entries.map { code ->
                    val outcome = code.outcome.name.lowercase()
                    "| ${code.number} | ${code.name.lowercase()} | ${code.httpStatus} | $outcome | ${code.summary} |"
                }
            val head = listOf("| number | name | HTTP status | outcome | meaning |", "|---|---|---|---|---|")
            return (head + rows).joinToString("\n", postfix = "\n")
        }
    }
}
