package plantainturn.daemon.command

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import picocli.CommandLine.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch

/** Reads a stand-in's settings, starts it and waits until the process is told to stop. */
internal class StandInRunner {
    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        description = ["The settings, JSON. Default: each setting's default, on a port that the system picks."],
    )
    private var file: Path? = null

    /** Runs the stand-in that [start] starts and returns the exit status. [start] returns the port. */
    fun <S> run(
        settings: DeserializationStrategy<S>,
        start: (S) -> Int,
    ): Int {
        val decoded =
            try {
                Json.decodeFromString(settings, file?.let(Files::readString) ?: "{}")
            } catch (exception: IOException) {
                return refuse("cannot be read: ${exception.message}")
            } catch (exception: SerializationException) {
                return refuse(exception.message.orEmpty())
            }
        println("{\"listening\":${start(decoded)}}")
        System.out.flush()
        CountDownLatch(1).await()
        return ExitStatus.SUCCESS
    }

    private fun refuse(problem: String): Int {
        System.err.println("plantainturn: $file: $problem")
        return ExitStatus.USAGE
    }
}
