package plantainturn.request.claim

/**
 * The time that an idempotency key carries, if it is a UUID of version 7 (RFC 9562).
 *
 * The time only orders the keys of one team, so that a key which was forgotten can be told from a new one. No clock
 * is compared with it.
 */
public object KeyTimestamp {
    private const val TIME_DIGITS = 12
    private const val HEXADECIMAL = 16
    private val FORM = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

    /** Returns the time in milliseconds that [key] carries, or null if it carries none. */
    public fun millisecondsOf(key: String): Long? {
        if (!FORM.matches(key)) return null
        return key.replace("-", "").take(TIME_DIGITS).toLong(HEXADECIMAL)
    }
}
