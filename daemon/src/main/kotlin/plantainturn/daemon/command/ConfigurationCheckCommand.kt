package plantainturn.daemon.command

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import plantainturn.version.configuration.ConfigurationCheck
import plantainturn.version.configuration.ConfigurationChecks
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Checks a whole configuration without a node. */
@Command(
    name = "check",
    description = ["Checks a whole configuration, as `configuration show` prints it, and names every fault."],
    mixinStandardHelpOptions = true,
)
internal class ConfigurationCheckCommand : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["The file that holds the configuration."])
    private lateinit var file: Path

    override fun call(): Int {
        val root =
            try {
                Json.parseToJsonElement(Files.readString(file)) as? JsonObject
            } catch (exception: IOException) {
                return fail("cannot be read: ${exception.message}")
            } catch (exception: SerializationException) {
                return fail("is not JSON: ${exception.message?.lineSequence()?.first()}")
            }
        if (root == null) return fail("must hold an object")
        return report(ConfigurationChecks.check(root["configuration"] as? JsonObject ?: root))
    }

    private fun report(check: ConfigurationCheck): Int =
        when (check) {
            is ConfigurationCheck.Passed -> {
                println("$file: no faults")
                ExitStatus.SUCCESS
            }
            is ConfigurationCheck.Faulty -> {
                for (fault in check.faults) fail("${fault.path}: ${fault.problem}")
                ExitStatus.USAGE
            }
        }

    private fun fail(problem: String): Int {
        System.err.println("plantainturn: $file: $problem")
        return ExitStatus.USAGE
    }
}
