package plantainturn.connection.engine

/** How an attempt ended. */
public sealed interface GenerationEnd {
    /**
     * The engine says that the answer is complete.
     *
     * @property totalTokens tokens of the whole answer, by the engine's count
     * @property reason `stop` or `length`, as in the completions convention
     */
    public data class Finished(
        val totalTokens: Int,
        val reason: String,
    ) : GenerationEnd

    /** The engine refused before running anything of the request. */
    public data class RefusedNotRun(
        val reason: String,
    ) : GenerationEnd

    /** No connection was made, so nothing of the request reached the engine. */
    public data class Unreachable(
        val reason: String,
    ) : GenerationEnd

    /** The engine or the connection broke after the request may have reached it. */
    public data class Broken(
        val reason: String,
    ) : GenerationEnd

    /** The receiver stopped the attempt. */
    public data object Stopped : GenerationEnd
}
