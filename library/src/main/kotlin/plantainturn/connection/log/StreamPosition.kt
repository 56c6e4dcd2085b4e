package plantainturn.connection.log

/**
 * How far a stream has been folded.
 *
 * @property next the offset of the first record that is not folded yet
 * @property state the state before that record
 * @property recent the identifiers of the records folded last
 */
public data class StreamPosition<S>(
    val next: LogOffset,
    val state: S,
    val recent: RecentIdentifiers = RecentIdentifiers.NONE,
)
