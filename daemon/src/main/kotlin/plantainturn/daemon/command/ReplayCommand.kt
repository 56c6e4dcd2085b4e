package plantainturn.daemon.command

import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException
import plantainturn.replay.DeploymentName
import plantainturn.replay.FaultSelection
import plantainturn.replay.PolicyName
import plantainturn.replay.ReplayFormat
import plantainturn.replay.ReplayOptions
import plantainturn.replay.ReplayReport
import plantainturn.replay.ReplayResult
import plantainturn.replay.ReplayRunner
import java.nio.file.Path
import java.util.concurrent.Callable

/** Replays a trace against the decisions of a policy. */
@Command(
    name = "replay",
    description = [
        "Replays a recorded or generated trace against the decisions of a policy, in virtual time.",
        "Equal options give equal results.",
    ],
    mixinStandardHelpOptions = true,
)
internal class ReplayCommand : Callable<Int> {
    @Option(
        names = ["--deployment"],
        paramLabel = "NAME",
        description = ["hamasaki, valtellina or target. Default: hamasaki."],
        converter = [DeploymentConverter::class],
    )
    private var deployment: DeploymentName = DeploymentName.HAMASAKI

    @Option(names = ["--seed"], paramLabel = "NUMBER", description = ["Fixes every random choice. Default: 1."])
    private var seed: Long = 1

    @Option(
        names = ["--policy"],
        paramLabel = "NAME",
        description = ["plantainturn, naive or static. Default: plantainturn."],
        converter = [PolicyConverter::class],
    )
    private var policy: PolicyName = PolicyName.PLANTAINTURN

    @Option(
        names = ["--faults"],
        paramLabel = "NAME",
        description = ["none, upstream, domain, log or all. Default: none."],
        converter = [FaultConverter::class],
    )
    private var faults: FaultSelection = FaultSelection.NONE

    @Option(
        names = ["--trace"],
        paramLabel = "FILE",
        description = ["A recorded trace, JSON lines; see docs/TRACES.md."],
    )
    private var trace: Path? = null

    @Option(
        names = ["--format"],
        paramLabel = "NAME",
        description = ["text or json. Default: text."],
        converter = [FormatConverter::class],
    )
    private var format: ReplayFormat = ReplayFormat.TEXT

    @Option(names = ["--plot"], paramLabel = "FILE", description = ["Writes attainment and moves over time as SVG."])
    private var plot: Path? = null

    override fun call(): Int =
        when (val result = ReplayRunner().run(ReplayOptions(deployment, seed, policy, faults, trace, format, plot))) {
            is ReplayResult.BadTrace -> reportFaults(result)
            is ReplayResult.Completed -> reportMeasures(result.report)
        }

    private fun reportFaults(result: ReplayResult.BadTrace): Int {
        for (fault in result.faults) System.err.println("plantainturn: $trace: $fault")
        return ExitStatus.USAGE
    }

    private fun reportMeasures(report: ReplayReport): Int {
        val fields = Json.encodeToJsonElement(ReplayReport.serializer(), report)
        if (format == ReplayFormat.JSON) {
            println(fields)
        } else {
            (fields as kotlinx.serialization.json.JsonObject).forEach { (name, value) -> println("$name: $value") }
        }
        return ExitStatus.SUCCESS
    }

    private class DeploymentConverter : ITypeConverter<DeploymentName> {
        override fun convert(value: String): DeploymentName = find(DeploymentName.entries, { it.argument }, value)
    }

    private class PolicyConverter : ITypeConverter<PolicyName> {
        override fun convert(value: String): PolicyName = find(PolicyName.entries, { it.argument }, value)
    }

    private class FaultConverter : ITypeConverter<FaultSelection> {
        override fun convert(value: String): FaultSelection = find(FaultSelection.entries, { it.argument }, value)
    }

    private class FormatConverter : ITypeConverter<ReplayFormat> {
        override fun convert(value: String): ReplayFormat = find(ReplayFormat.entries, { it.argument }, value)
    }

    private companion object {
        fun <T> find(
            entries: List<T>,
            argumentOf: (T) -> String,
            value: String,
        ): T =
            entries.firstOrNull { argumentOf(it) == value }
                ?: throw TypeConversionException(
                    "expected one of ${entries.joinToString { argumentOf(it) }}, not $value",
                )
    }
}
