package plantainturn.relay.request

import plantainturn.process.ResultCode
import plantainturn.version.route.ClientAccount
import kotlin.time.Duration

/**
 * Lets one request run if its access key is in force and its account's quota has room.
 *
 * @param refuse ends the request with a result, details for the log and when to come back
 */
internal class RequestAdmission(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val account: RequestAccount,
    private val refuse: (ResultCode, String, Duration?) -> Unit,
) {
    private val charge = QuotaCharge(context.peers.quota, request.declaredTokens)

    /** Looks the account up again. Returns whether the request may go on; otherwise it has been refused. */
    fun isKeyInForce(): Boolean {
        val refused = account.lookUp() ?: return true
        val details = "${refused.reason} configuration=${context.routing.current?.version}"
        refuse(refused.code, details, refused.retryAfter)
        return false
    }

    /** Returns whether the request may be sent now; otherwise it is refused, or [retry] is called when it may. */
    fun isAdmitted(
        mayHaveRun: Boolean,
        retry: () -> Unit,
    ): Boolean {
        if (account.terms != null) return true
        if (charge.isPending || (!mayHaveRun && !isKeyInForce())) return false
        val charged = account.account
        if (charged == null || charge.covers(charged)) return true
        charge.request(charged) { decision ->
            when (decision) {
                QuotaDecision.Admitted -> retry()
                is QuotaDecision.Exceeded -> refuse(ResultCode.QUOTA_EXCEEDED, charged, decision.retryAfter)
                is QuotaDecision.Unavailable -> refuse(ResultCode.QUOTA_UNAVAILABLE, charged, decision.retryAfter)
            }
        }
        return false
    }

    /** Ends the request; its account is charged nothing unless it [mayHaveRun]. */
    fun close(mayHaveRun: Boolean): Unit = charge.close(mayHaveRun)

    private fun refuse(
        code: ResultCode,
        charged: ClientAccount,
        retryAfter: Duration,
    ): Unit = refuse(code, "cost=${charged.quota?.costOf(request.declaredTokens)}", retryAfter)
}
