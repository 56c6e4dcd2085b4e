package plantainturn.connection.log

/**
 * The newest complete snapshot that a follower has met in a stream.
 *
 * @property covers the first offset that the snapshot does not cover
 * @property offset the offset of the snapshot's last part
 */
public data class SnapshotMark(
    val covers: LogOffset,
    val offset: LogOffset,
)
