package plantainturn.request.claim

/**
 * The time that an idempotency key carries, if it is a UUID of version 7 (RFC 9562).
 *
 * The time only orders the keys of one team, so that a key which was forgotten can be told from a new one. No clock
 * is compared with it.
 */
public object KeyTimestamp {
    private const val TIMESTAMP_DIGITS = 12
    private const val HEXADECIMAL_RADIX = 16
    private val UUID_V7 = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

    /** Returns the time in milliseconds that [key] carries, or null if it carries none. */
    public fun millisecondsOf(key: String): Long? {
        if (!UUID_V7.matches(key)) return null
        return key.replace("-", "").take(TIMESTAMP_DIGITS).toLong(HEXADECIMAL_RADIX)
    }
}
