package plantainturn.replay

/**
 * What happened in one minute of a replay.
 *
 * @property arrived requests that arrived in the minute
 * @property attained those of them that met their targets
 * @property moves loads, unloads and role changes that engines began in the minute
 */
public data class ReplayMinute(
    val arrived: Long,
    val attained: Long,
    val moves: Long,
)
