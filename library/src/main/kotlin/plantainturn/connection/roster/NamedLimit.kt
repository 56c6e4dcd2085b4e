package plantainturn.connection.roster

/**
 * The limit that an instance names in an answer.
 *
 * @property requestsPerSecond requests per second that it accepts from all nodes together, null if it has no limit
 */
@JvmInline
public value class NamedLimit(
    public val requestsPerSecond: Double?,
) {
    public companion object {
        /** The instance has no limit. */
        public val NONE: NamedLimit = NamedLimit(null)
    }
}
