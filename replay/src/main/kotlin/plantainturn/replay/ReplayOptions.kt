package plantainturn.replay

import java.nio.file.Path

/**
 * What to replay.
 *
 * @property seed fixes the generated trace, the faults and every random choice
 * @property traceFile a recorded trace to replay in place of a generated one, JSON lines
 * @property plotFile where to write an SVG of attainment and moves over time
 */
public data class ReplayOptions(
    val deployment: DeploymentName,
    val seed: Long = 1,
    val policy: PolicyName = PolicyName.PLANTAINTURN,
    val faults: FaultSelection = FaultSelection.NONE,
    val traceFile: Path? = null,
    val format: ReplayFormat = ReplayFormat.TEXT,
    val plotFile: Path? = null,
)
