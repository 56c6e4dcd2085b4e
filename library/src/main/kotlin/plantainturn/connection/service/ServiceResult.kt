package plantainturn.connection.service

import kotlinx.collections.immutable.PersistentList

/** What is known after a call to a plain service. */
public sealed interface ServiceResult {
    /** The service answered. */
    public class Answered(
        public val status: Int,
        public val headers: PersistentList<HttpField>,
        public val body: ByteArray,
    ) : ServiceResult

    /** No connection was made, so nothing of the call reached the service. */
    public data class Unreachable(
        val reason: String,
    ) : ServiceResult

    /** The call may have run: the connection broke, or the answer did not come in time. */
    public data class Unknown(
        val reason: String,
    ) : ServiceResult
}
