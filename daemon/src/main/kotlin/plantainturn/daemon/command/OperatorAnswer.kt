package plantainturn.daemon.command

/** What a call to a node's operator interface gave. */
internal sealed interface OperatorAnswer {
    /**
     * The node answered.
     *
     * @property version the configuration version in the `ETag`, null if there is none
     */
    data class Answered(
        val status: Int,
        val version: Long?,
        val body: String,
    ) : OperatorAnswer {
        /** Whether the node did what was asked. */
        val succeeded: Boolean
            get() = status in SUCCESSFUL

        private companion object {
            val SUCCESSFUL = 200..299
        }
    }

    /** The node did not answer. */
    data class Unanswered(
        val reason: String,
    ) : OperatorAnswer
}
