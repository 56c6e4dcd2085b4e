package plantainturn.connection.log.internal

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.RecentIdentifiers
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.log.StreamFold
import plantainturn.connection.log.StreamPosition

/** The JSON text of a snapshot. */
@Serializable
internal data class SnapshotText(
    val recent: List<RecordIdentifier>,
    val state: JsonElement,
) {
    internal companion object {
        /** Returns the text of [position] under [fold]. */
        fun <S> encode(
            fold: StreamFold<S, *>,
            position: StreamPosition<S>,
        ): String {
            val snapshot = SnapshotText(position.recent.toList(), fold.encode(position.state))
            return Json.encodeToString(serializer(), snapshot)
        }

        /** Returns the position that [text] holds, or null if it holds none. */
        fun <S> decode(
            fold: StreamFold<S, *>,
            covers: LogOffset,
            text: String,
        ): StreamPosition<S>? =
            try {
                val snapshot = Json.decodeFromString(serializer(), text)
                StreamPosition(covers, fold.decode(snapshot.state), RecentIdentifiers.of(snapshot.recent))
            } catch (_: IllegalArgumentException) {
                null
            }
    }
}
