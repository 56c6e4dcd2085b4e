package plantainturn.request.claim

/**
 * Extracts the timestamp of an idempotency key that is a UUID of version 7 (RFC 9562).
 *
 * The timestamp only orders the keys of one team, so that an evicted key can be distinguished from a new one. It is
 * never compared with a clock.
 */
public object KeyTimestamp {
    private const val TIMESTAMP_DIGITS = 12
    private const val HEXADECIMAL_RADIX = 16
    private val UUID_V7 = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

    /** Returns the timestamp of [key] in milliseconds, or null if [key] is not a UUID of version 7. */
    public fun millisecondsOf(key: String): Long? {
        if (!UUID_V7.matches(key)) return null
        return key.replace("-", "").take(TIMESTAMP_DIGITS).toLong(HEXADECIMAL_RADIX)
    }
}
