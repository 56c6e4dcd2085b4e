package plantainturn.connection.store

/**
 * What is to be appended to a keyed topic.
 *
 * @property value null drops the key
 */
public class KeyedValue(
    public val key: String,
    public val value: ByteArray?,
)
