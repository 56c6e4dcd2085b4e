package plantainturn.replay

/**
 * The faults that a replay injects.
 *
 * @property argument how it is written on the command line
 */
public enum class FaultSelection(
    public val argument: String,
) {
    /** Nothing fails. */
    NONE("none"),

    /** Single upstreams crash and come back with empty memory. */
    UPSTREAM("upstream"),

    /** A whole failure domain is lost for some minutes. */
    DOMAIN("domain"),

    /** The log has an outage. */
    LOG("log"),

    /** All of these, and orders get lost. */
    ALL("all"),
}
