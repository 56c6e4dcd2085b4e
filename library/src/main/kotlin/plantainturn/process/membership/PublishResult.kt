package plantainturn.process.membership

/** What became of a value that was to be published. */
public sealed interface PublishResult {
    /** The value spreads from now on, or does so already. */
    public data object Published : PublishResult

    /** The value is larger than the [limit] of bytes that one message leaves for it. */
    public data class TooLarge(
        val bytes: Int,
        val limit: Int,
    ) : PublishResult
}
