package plantainturn.connection.store

import plantainturn.connection.log.LogOffset

/**
 * One record of a keyed topic.
 *
 * @property value null if the record drops its key
 */
public class KeyedRecord(
    public val key: String,
    public val value: ByteArray?,
    public val offset: LogOffset,
)
