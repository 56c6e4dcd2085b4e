package plantainturn.request.relay

/** What an expected time at an instance is based on. */
public enum class PaceReason {
    /** Nothing is known of the run, or nothing recent; the instance counts as usual. */
    UNKNOWN,

    /** Times of this node's requests alone, as the instance states nothing recent. */
    LEARNED,

    /** What the instance states of this moment, in proportion to what was learned. */
    STATED,

    /** Part of the recent requests failed, which outweighs its times. */
    FAILING,
}
