package plantainturn.replay

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import plantainturn.replay.deployment.DeploymentCatalogue
import plantainturn.replay.deployment.ReplayDeployment
import plantainturn.replay.fault.FaultSchedule
import plantainturn.replay.measure.ReplayPlot
import plantainturn.replay.trace.TraceFile
import plantainturn.replay.trace.TraceGenerator
import plantainturn.replay.trace.TraceReadResult
import plantainturn.replay.trace.TraceRecord
import plantainturn.replay.world.ReplayWorld
import java.nio.file.Files
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Replays a trace against the decisions of a policy, in virtual time and on the calling thread.
 *
 * Equal options give equal results.
 */
public class ReplayRunner internal constructor(
    private val everythingEverywhere: Boolean = false,
    private val demandFactor: Double = 1.0,
) {
    /** Makes a runner. */
    public constructor() : this(everythingEverywhere = false, demandFactor = 1.0)

    /** Replays what [options] ask for. */
    public fun run(options: ReplayOptions): ReplayResult {
        val deployment = DeploymentCatalogue.find(options.deployment)
        val file = options.traceFile ?: return replay(options, deployment, generate(deployment, options.seed))
        return when (val trace = TraceFile.read(file)) {
            is TraceReadResult.Faulty -> ReplayResult.BadTrace(trace.faults)
            is TraceReadResult.Trace -> check(options, deployment, trace.records)
        }
    }

    private fun generate(
        deployment: ReplayDeployment,
        seed: Long,
    ): PersistentList<TraceRecord> =
        TraceGenerator(deployment.configuration, deployment.workload.scaledBy(demandFactor), Random(seed)).generate()

    private fun check(
        options: ReplayOptions,
        deployment: ReplayDeployment,
        records: PersistentList<TraceRecord>,
    ): ReplayResult {
        val faults = unknownTargets(deployment, records)
        return if (faults.isEmpty()) replay(options, deployment, records) else ReplayResult.BadTrace(faults)
    }

    private fun unknownTargets(
        deployment: ReplayDeployment,
        records: PersistentList<TraceRecord>,
    ): PersistentList<String> {
        val known = deployment.configuration.models.keys + deployment.configuration.adapters.keys
        return records
            .filterIsInstance<TraceRecord.Completion>()
            .filter { it.target !in known }
            .map { "record at ${it.atMilliseconds} ms: the deployment has no model or adapter ${it.target}" }
            .toPersistentList()
    }

    private fun replay(
        options: ReplayOptions,
        deployment: ReplayDeployment,
        records: PersistentList<TraceRecord>,
    ): ReplayResult {
        val random = Random(options.seed)
        val faultRandom = Random(options.seed + FAULT_SEED_OFFSET)
        val schedule = FaultSchedule.draw(options.faults, deployment.configuration, length(records), faultRandom)
        val world = ReplayWorld(deployment, options.policy, schedule, random, everythingEverywhere)
        world.run(records)
        options.plotFile?.let { Files.writeString(it, plot(options, world)) }
        return ReplayResult.Completed(
            report = world.measures.report(deployment.accelerators, options.seed),
            minutes = world.measures.minutes().toPersistentList(),
            outcomes = world.measures.outcomes(),
        )
    }

    private fun plot(
        options: ReplayOptions,
        world: ReplayWorld,
    ): String {
        val names = "${options.deployment.argument}, ${options.policy.argument}, faults ${options.faults.argument}"
        return ReplayPlot("$names, seed ${options.seed}", world.measures.minutes()).svg()
    }

    private fun length(records: PersistentList<TraceRecord>): Duration =
        maxOf(1.minutes, (records.lastOrNull()?.atMilliseconds ?: 0).milliseconds)

    private companion object {
        const val FAULT_SEED_OFFSET = 1_000_003L
    }
}
