package plantainturn.connection.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.json.JsonElement

/** What the payload of a record holds. */
public sealed interface RecordContent {
    /** Entries for the stream's fold, in order. */
    public data class Entries(
        val entries: PersistentList<JsonElement>,
    ) : RecordContent

    /** A part of a snapshot. */
    public data class Snapshot(
        val part: SnapshotPart,
    ) : RecordContent

    /** The record follows the rules numbered [rule], which this program does not know. */
    public data class UnknownRule(
        val rule: Int,
    ) : RecordContent

    /** The payload names no rule, or breaks the rule that it names. Every reader ignores such a record. */
    public data class Malformed(
        val problem: String,
    ) : RecordContent
}
