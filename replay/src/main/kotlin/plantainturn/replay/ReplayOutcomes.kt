package plantainturn.replay

/**
 * How the requests of a replay ended, for people who look for the cause of a figure.
 *
 * @property answered requests answered in full, in time or not
 * @property lateFirstTokens those of them whose first token came after its target
 * @property slowAnswers those of them of whose tokens more than 5 in 100 came after their target
 */
public data class ReplayOutcomes(
    val answered: Long,
    val lateFirstTokens: Long,
    val slowAnswers: Long,
)
