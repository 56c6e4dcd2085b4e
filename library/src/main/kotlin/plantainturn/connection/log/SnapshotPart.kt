package plantainturn.connection.log

import kotlinx.serialization.Serializable

/**
 * One part of a snapshot of a stream's fold.
 *
 * A snapshot that is larger than a record may be is spread over several records of its stream.
 *
 * @property identifier names the snapshot among all of its stream
 * @property covers the first offset that the snapshot does not cover
 * @property part the number of this part, from 0
 * @property parts the number of parts
 * @property text this part of the snapshot's JSON text
 */
@Serializable
public data class SnapshotPart(
    val identifier: String,
    val covers: LogOffset,
    val part: Int,
    val parts: Int,
    val text: String,
)
