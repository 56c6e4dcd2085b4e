package plantainturn.standins.measurement

import kotlinx.serialization.json.Json
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.load.LoadRun
import plantainturn.standins.load.LoadSettings
import plantainturn.standins.load.LoadSummary
import java.nio.file.Files
import java.nio.file.Path

/** Runs the load that the settings in the JSON file named by the first argument describe, and prints its summary. */
public fun main(arguments: Array<String>) {
    val settings = Json.decodeFromString(LoadSettings.serializer(), Files.readString(Path.of(arguments.first())))
    val summary = SystemTimerService().use { LoadRun(settings, it).run() }
    println(Json.encodeToString(LoadSummary.serializer(), summary))
}
