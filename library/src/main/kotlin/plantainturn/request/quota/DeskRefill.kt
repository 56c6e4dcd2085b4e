package plantainturn.request.quota

/** Determines which part of each account's rate a desk may grant. */
public object DeskRefill {
    /** With a successor that grants at the full rate, both stay below one and a half times the rate. */
    private const val NOT_EXCLUSIVE = 0.4

    /** With more, a desk that takes over after all processes have restarted would grant nothing for seconds. */
    private const val MOST_UNKNOWN = 0.5

    /**
     * Returns the part of the rate. A process without a desk admits its share of the rate by itself.
     *
     * @param isExclusive whether no other node can be the desk now
     * @param silentFraction the shares of processes that the desk no longer hears and that may be using them
     * @param unknownFraction the shares that an earlier desk may have confirmed to processes that this one never heard
     */
    public fun of(
        isExclusive: Boolean,
        silentFraction: Double,
        unknownFraction: Double,
    ): Double {
        if (!isExclusive) return NOT_EXCLUSIVE
        return (1.0 - silentFraction - minOf(unknownFraction, MOST_UNKNOWN)).coerceAtLeast(0.0)
    }
}
