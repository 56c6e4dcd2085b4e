package plantainturn.relay.request

import plantainturn.process.ResultCode
import plantainturn.version.route.ClientAccount
import kotlin.time.Duration

/** Result of an [AccountCheck]. */
internal sealed interface AccountDecision {
    /**
     * The request may run.
     *
     * @property account the account that holds its key, null if none does or the configuration has no accounts
     * @property hasAccounts whether the configuration has accounts
     */
    data class Permitted(
        val account: ClientAccount?,
        val hasAccounts: Boolean,
    ) : AccountDecision

    /**
     * The request must not run.
     *
     * @property retryAfter when it is worth asking again, null if it is not
     */
    data class Refused(
        val code: ResultCode,
        val reason: String,
        val retryAfter: Duration?,
    ) : AccountDecision
}
