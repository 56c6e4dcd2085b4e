package plantainturn.connection.log

/** What one step of a [StreamFollower] did. */
public sealed interface FollowResult {
    /**
     * Records were read, possibly none.
     *
     * @property next the first offset that is not folded yet
     * @property end the end of the stream when it was read
     */
    public data class Followed(
        val next: LogOffset,
        val end: LogOffset,
    ) : FollowResult {
        /** Whether every record up to [end] is folded. */
        public val caughtUp: Boolean
            get() = next >= end
    }

    /** A snapshot was adopted; the records from [next] on follow. */
    public data class Adopted(
        val next: LogOffset,
    ) : FollowResult

    /** The source ends at [end], before what is folded. Usual for a peer that lags, a grave fault of the log. */
    public data class Behind(
        val end: LogOffset,
    ) : FollowResult

    /** The source did not answer. */
    public data class Unavailable(
        val reason: String,
    ) : FollowResult

    /** Needed records are gone and the source holds no usable snapshot; the state stays as it is. */
    public data class SnapshotMissing(
        val oldest: LogOffset,
    ) : FollowResult

    /** The source's answer does not fit what was read before; it was not used. */
    public data class Inconsistent(
        val problem: String,
    ) : FollowResult

    /** The record at [offset] follows unknown rules. The follower goes no further; the program must be updated. */
    public data class Stopped(
        val offset: LogOffset,
        val rule: Int,
    ) : FollowResult
}
