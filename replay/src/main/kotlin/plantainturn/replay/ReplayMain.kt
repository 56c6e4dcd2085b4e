package plantainturn.replay

import kotlinx.serialization.json.Json

/** Runs replays from a shell before and beside the command line: `DEPLOYMENT POLICY FAULTS SEED...`. */
internal object ReplayMain {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val deployment = DeploymentName.entries.first { it.argument == arguments[0] }
        val policy = PolicyName.entries.first { it.argument == arguments[1] }
        val faults = FaultSelection.entries.first { it.argument == arguments[2] }
        arguments.drop(OPTIONS).forEach { seed ->
            when (val result = ReplayRunner().run(ReplayOptions(deployment, seed.toLong(), policy, faults))) {
                is ReplayResult.BadTrace -> result.faults.forEach(::println)
                is ReplayResult.Completed -> println(Json.encodeToString(ReplayReport.serializer(), result.report))
            }
        }
    }

    private const val OPTIONS = 3
}
