package plantainturn.daemon.command

import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import plantainturn.process.time.SystemTimerService
import plantainturn.standins.load.LoadRun
import plantainturn.standins.load.LoadSettings
import plantainturn.standins.load.LoadSummary
import java.util.concurrent.Callable

/** Puts a load on nodes whose upstreams are stand-ins. */
@Command(
    name = "load",
    description = [
        "Puts a load on nodes whose upstreams are stand-ins, checks each answer whole and prints a summary as JSON.",
        "Requests begin at moments that the seed fixes, whether or not earlier ones have ended.",
    ],
    mixinStandardHelpOptions = true,
)
internal class LoadCommand : Callable<Int> {
    @Option(
        names = ["--node"],
        required = true,
        split = ",",
        paramLabel = "URL",
        description = ["The callers' addresses of the nodes."],
    )
    private lateinit var nodes: List<String>

    @Option(names = ["--model"], split = ",", paramLabel = "NAME", description = ["The models and adapters to ask."])
    private var models: List<String> = emptyList()

    @Option(names = ["--rate"], paramLabel = "NUMBER", description = ["Requests a second. Default: 10."])
    private var rate: Double = DEFAULT_RATE

    @Option(names = ["--service"], paramLabel = "NAME", description = ["The plain service to call. Default: none."])
    private var service: String? = null

    @Option(names = ["--call-rate"], paramLabel = "NUMBER", description = ["Calls a second. Default: 0."])
    private var callRate: Double = 0.0

    @Option(
        names = ["--service-truth"],
        split = ",",
        paramLabel = "URL",
        description = ["The service stand-ins whose executions are counted at the end."],
    )
    private var truths: List<String> = emptyList()

    @Option(names = ["--seconds"], paramLabel = "NUMBER", description = ["How long requests begin. Default: 10."])
    private var seconds: Int = DEFAULT_SECONDS

    @Option(names = ["--seed"], paramLabel = "NUMBER", description = ["Fixes every random choice. Default: 1."])
    private var seed: Long = 1

    override fun call(): Int {
        val settings =
            LoadSettings(
                nodes = nodes,
                teamKey = System.getenv("PLANTAINTURN_TEAM_KEY").orEmpty(),
                models = models,
                requestsPerSecond = rate,
                seconds = seconds,
                seed = seed,
                service = service,
                callsPerSecond = callRate,
                serviceTruths = truths,
            )
        val summary = SystemTimerService().use { LoadRun(settings, it).run() }
        println(Json.encodeToString(LoadSummary.serializer(), summary))
        return ExitStatus.SUCCESS
    }

    private companion object {
        const val DEFAULT_RATE = 10.0
        const val DEFAULT_SECONDS = 10
    }
}
