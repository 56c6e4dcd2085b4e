package plantainturn.daemon.command

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plantainturn.daemon.node.Node
import plantainturn.daemon.settings.NodeSettings
import plantainturn.daemon.settings.NodeSettingsReader
import plantainturn.daemon.settings.SettingsResult
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Runs a node until it is told to stop. */
@Command(
    name = "node",
    description = [
        "Runs a node until SIGTERM, then stops it as planned: no running request is cut off.",
        "When it listens, it prints one line of JSON with its ports. Logs go to standard error.",
    ],
    mixinStandardHelpOptions = true,
)
internal class NodeCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, paramLabel = "FILE", description = ["The node's settings, JSON."])
    private lateinit var file: Path

    @Option(names = ["--check"], description = ["Checks the settings and starts nothing."])
    private var checkOnly: Boolean = false

    override fun call(): Int {
        val text =
            try {
                Files.readString(file)
            } catch (exception: IOException) {
                System.err.println("plantainturn: $file cannot be read: ${exception.message}")
                return ExitStatus.USAGE
            }
        return when (val result = NodeSettingsReader.read(text)) {
            is SettingsResult.Invalid -> reportFaults(result)
            is SettingsResult.Valid -> if (checkOnly) ExitStatus.SUCCESS else run(result.settings)
        }
    }

    private fun reportFaults(result: SettingsResult.Invalid): Int {
        for (fault in result.faults) System.err.println("plantainturn: $file: $fault")
        return ExitStatus.USAGE
    }

    private fun run(settings: NodeSettings): Int {
        val node = Node(settings)
        val stopped = CountDownLatch(1)
        val stop =
            Thread {
                node.stop()
                stopped.countDown()
            }
        Runtime.getRuntime().addShutdownHook(stop)
        println(node.start())
        System.out.flush()
        stopped.await()
        return ExitStatus.SUCCESS
    }
}
