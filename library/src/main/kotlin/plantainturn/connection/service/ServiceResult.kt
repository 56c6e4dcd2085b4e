package plantainturn.connection.service

import kotlinx.collections.immutable.PersistentList

/** The outcome of a call to a plain service, as far as it is known. */
public sealed interface ServiceResult {
    /** The service answered. */
    public class Answered(
        public val status: Int,
        public val headers: PersistentList<HttpField>,
        public val body: ByteArray,
    ) : ServiceResult

    /** Nothing of the call was sent, so the service did not run it. */
    public data class Unreachable(
        val reason: String,
    ) : ServiceResult

    /** The service may have run the call: the connection broke or the answer was late. */
    public data class Unknown(
        val reason: String,
    ) : ServiceResult
}
