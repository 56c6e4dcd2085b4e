package plantainturn.relay.request

import plantainturn.version.route.ClientAccount

/** What one request is charged against the quota of its account; charged once, however often the request is sent. */
internal class QuotaCharge(
    private val admission: QuotaAdmission,
    private val declaredTokens: Long?,
) {
    private var charged: ClientAccount? = null
    private var asking = false
    private var closed = false

    /** Whether a decision is awaited. */
    val isPending: Boolean
        get() = asking

    /** Returns whether the request need not ask before it runs for [account]. */
    fun covers(account: ClientAccount?): Boolean = account?.quota == null || charged?.name == account.name

    /** Asks for the request's part of the quota of [account]; gives back what another account was charged. */
    fun request(
        account: ClientAccount,
        done: (QuotaDecision) -> Unit,
    ) {
        giveBack()
        asking = true
        admission.admit(account, costFor(account)) { decision ->
            asking = false
            if (decision == QuotaDecision.Admitted) charged = account
            if (closed) giveBack() else done(decision)
        }
    }

    /** Ends the request; it is charged nothing unless it [mayHaveRun]. */
    fun close(mayHaveRun: Boolean) {
        closed = true
        if (!mayHaveRun) giveBack()
    }

    private fun giveBack() {
        charged?.let { admission.giveBack(it, costFor(it)) }
        charged = null
    }

    private fun costFor(account: ClientAccount): Long = account.quota?.costOf(declaredTokens) ?: 0
}
