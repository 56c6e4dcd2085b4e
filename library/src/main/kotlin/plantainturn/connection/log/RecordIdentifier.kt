package plantainturn.connection.log

import kotlinx.serialization.Serializable

/**
 * Names a record independently of its offset, so that an append whose answer was lost can be recognised.
 *
 * The same identifier appended twice is one record: readers ignore the later occurrences.
 */
@Serializable
@JvmInline
public value class RecordIdentifier(
    public val value: String,
) {
    override fun toString(): String = value
}
