package plantainturn.connection.roster

import kotlin.time.Duration

/**
 * Holds what an instance reports about itself in the headers of an answer, independent of its result.
 *
 * @property leaving whether the instance announces that it is shutting down
 * @property retryAfter the time, as received, for which the instance asks to be sent no requests; null if absent
 * @property limit what it says about its limit on requests, null if the answer tells nothing about that
 * @property brittleness how many requests a second it may turn away before it falls over, in the same form
 */
public data class InstanceNotice(
    val leaving: Boolean,
    val retryAfter: Duration?,
    val limit: NamedLimit? = null,
    val brittleness: NamedLimit? = null,
) {
    public companion object {
        /** The notice of an answer that carries none. */
        public val NONE: InstanceNotice = InstanceNotice(leaving = false, retryAfter = null)
    }
}
