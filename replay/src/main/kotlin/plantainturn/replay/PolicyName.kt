package plantainturn.replay

/**
 * A way to decide that can be replayed.
 *
 * @property argument how it is written on the command line
 */
public enum class PolicyName(
    public val argument: String,
) {
    /** The product's decisions. */
    PLANTAINTURN("plantainturn"),

    /** Least loaded by the last report, load on demand, evict the least recently used. */
    NAIVE("naive"),

    /** Least loaded by the last report, placement fixed at the start. */
    STATIC("static"),
}
