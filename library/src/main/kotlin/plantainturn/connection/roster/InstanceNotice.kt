package plantainturn.connection.roster

import kotlin.time.Duration

/**
 * What an instance says of itself beside an answer, whatever that answer is.
 *
 * @property leaving whether it says that it will end
 * @property retryAfter how long it asks to be sent nothing, as it said it; null if it does not ask
 */
public data class InstanceNotice(
    val leaving: Boolean,
    val retryAfter: Duration?,
) {
    public companion object {
        /** Says nothing. */
        public val NONE: InstanceNotice = InstanceNotice(leaving = false, retryAfter = null)
    }
}
