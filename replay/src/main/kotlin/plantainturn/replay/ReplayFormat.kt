package plantainturn.replay

/**
 * How a report is printed.
 *
 * @property argument how it is written on the command line
 */
public enum class ReplayFormat(
    public val argument: String,
) {
    /** Lines for people. */
    TEXT("text"),

    /** One JSON object on the last line. */
    JSON("json"),
}
