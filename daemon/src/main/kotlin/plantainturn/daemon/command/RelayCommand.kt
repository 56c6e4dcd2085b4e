package plantainturn.daemon.command

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plantainturn.daemon.HangUpSignal
import plantainturn.platform.UsersPlatform
import plantainturn.relay.node.RelayNode
import plantainturn.relay.node.RelaySettings
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Runs a relay node on the users' platform until it is told to stop. */
@Command(
    name = RelayCommand.NAME,
    description = [
        "Runs a node that passes callers' requests on to the platform's services, until SIGTERM.",
        "Logs go to standard output. SIGHUP, or a change of the file, reads the settings again.",
    ],
    mixinStandardHelpOptions = true,
)
internal class RelayCommand : Callable<Int> {
    private val logger = LogManager.getLogger(RelayCommand::class.java)

    @Option(names = ["--settings"], required = true, paramLabel = "FILE", description = ["The node's settings, JSON."])
    private lateinit var file: Path

    @Option(names = ["--check"], description = ["Checks the settings and starts nothing."])
    private var checkOnly: Boolean = false

    override fun call(): Int {
        val read = read()
        if (read.faults.isNotEmpty() || read.settings == null) {
            read.faults.forEach { System.err.println("plantainturn: $file: $it") }
            return ExitStatus.USAGE
        }
        return if (checkOnly) ExitStatus.SUCCESS else run(read.settings)
    }

    private fun run(settings: RelaySettings): Int {
        val node = RelayNode(settings) { _, caller, store -> UsersPlatform(caller, store) }
        val ended = CountDownLatch(1)
        val stop =
            Thread {
                node.stop()
                ended.countDown()
                LogManager.shutdown()
            }
        Runtime.getRuntime().addShutdownHook(stop)
        val faults = node.start()
        if (faults.isNotEmpty()) {
            faults.forEach { System.err.println("plantainturn: $it") }
            Runtime.getRuntime().removeShutdownHook(stop)
            return ExitStatus.FAILURE
        }
        HangUpSignal.handle {
            logger.info("event=signal name=HUP")
            reload(node)
        }
        var modified = modifiedAt()
        while (!ended.await(RELOAD_CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)) {
            val now = modifiedAt()
            if (now != modified) reload(node)
            modified = now
        }
        return ExitStatus.SUCCESS
    }

    private fun reload(node: RelayNode) {
        val read = read()
        if (read.faults.isEmpty() && read.settings != null) {
            node.reload(read.settings)
        } else {
            logger.warn("event=reload-refused faults={}", read.faults)
        }
    }

    private fun modifiedAt(): Long =
        try {
            Files.getLastModifiedTime(file).toMillis()
        } catch (exception: IOException) {
            logger.warn("event=settings-unreadable file={} reason=\"{}\"", file, exception.message)
            0
        }

    private fun read(): ReadSettings =
        try {
            val settings = FORMAT.decodeFromString(RelaySettings.serializer(), Files.readString(file))
            ReadSettings(settings, settings.faults())
        } catch (exception: IOException) {
            ReadSettings(null, listOf("cannot be read: ${exception.message}"))
        } catch (exception: SerializationException) {
            ReadSettings(
                null,
                listOf(
                    exception.message
                        .orEmpty()
                        .lineSequence()
                        .first(),
                ),
            )
        } catch (exception: IllegalArgumentException) {
            ReadSettings(null, listOf(exception.message.orEmpty()))
        }

    private class ReadSettings(
        val settings: RelaySettings?,
        val faults: List<String>,
    )

    companion object {
        /** The name on the command line. */
        const val NAME = "relay"

        /** Settings may change without a signal. */
        private const val RELOAD_CHECK_MILLISECONDS = 1_000L
        private val FORMAT = Json { ignoreUnknownKeys = false }
    }
}
