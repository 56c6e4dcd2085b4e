package plantainturn.version.route

import java.security.MessageDigest
import java.util.HexFormat

/**
 * The SHA-256 of an access key, in lower-case hexadecimal.
 *
 * Keys are compared and kept as digests only, so that no log line, dump or message between nodes can contain a key, and
 * the time of a comparison tells nothing about its characters.
 */
@JvmInline
public value class AccessKeyDigest private constructor(
    public val hexadecimal: String,
) {
    override fun toString(): String = hexadecimal

    public companion object {
        private val PATTERN = Regex("[0-9a-f]{64}")

        /** Returns the digest of [key], encoded as UTF-8. */
        public fun of(key: String): AccessKeyDigest {
            val bytes = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return AccessKeyDigest(HexFormat.of().formatHex(bytes))
        }

        /** Returns the digest that [text] contains, or null if [text] is not 64 lower-case hexadecimal digits. */
        public fun parse(text: String): AccessKeyDigest? = if (PATTERN.matches(text)) AccessKeyDigest(text) else null
    }
}
