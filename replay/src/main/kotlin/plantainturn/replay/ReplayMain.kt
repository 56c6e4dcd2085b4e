package plantainturn.replay

import kotlinx.serialization.json.Json
import java.nio.file.Path

/**
 * Runs replays from a shell before and beside the command line: `DEPLOYMENT POLICY FAULTS SEED...`.
 *
 * The policy `bound` is the product's with every model on every engine. `DEPLOYMENT@FACTOR` scales the demand.
 */
internal object ReplayMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val deployment = DeploymentName.entries.first { it.argument == arguments[0].substringBefore('@') }
        val demandFactor = arguments[0].substringAfter('@', "1").toDouble()
        val bound = arguments[1] == "bound"
        val policy = PolicyName.entries.firstOrNull { it.argument == arguments[1] } ?: PolicyName.PLANTAINTURN
        val faults = FaultSelection.entries.first { it.argument == arguments[2] }
        arguments.drop(OPTIONS).forEach { seed ->
            val plot = System.getenv("REPLAY_PLOT")?.let { Path.of(it) }
            val options = ReplayOptions(deployment, seed.toLong(), policy, faults, plotFile = plot)
            print(ReplayRunner(bound, demandFactor).run(options))
        }
    }

    private fun print(result: ReplayResult) {
        when (result) {
            is ReplayResult.BadTrace -> result.faults.forEach(::println)
            is ReplayResult.Completed -> {
                println(result.outcomes)
                println(Json.encodeToString(ReplayReport.serializer(), result.report))
            }
        }
    }

    private const val OPTIONS = 3
}
