package plantainturn.process.membership

/** The result of publishing a value. */
public sealed interface PublishResult {
    /** The value is being distributed, or already was. */
    public data object Published : PublishResult

    /** The value is larger than [limit], the number of bytes available to it in a message. */
    public data class TooLarge(
        val bytes: Int,
        val limit: Int,
    ) : PublishResult
}
