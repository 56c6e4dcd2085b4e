package plantainturn.relay.request

import plantainturn.version.route.ClientAccount

/** Decides whether requests of client accounts are within their quotas, which all nodes use together. */
internal interface QuotaAdmission {
    /**
     * Asks to run a request of [account] that costs [cost] units of its quota, and passes the decision to [done].
     *
     * [done] is called exactly once, at once or after a message to another node. An account without a quota is
     * always admitted.
     */
    fun admit(
        account: ClientAccount,
        cost: Long,
        done: (QuotaDecision) -> Unit,
    )

    /** Gives back [cost] units that were charged to [account] for a request that has not run and never will. */
    fun giveBack(
        account: ClientAccount,
        cost: Long,
    )

    /** Admits everything; for a node that was not told of quotas. */
    object Unlimited : QuotaAdmission {
        override fun admit(
            account: ClientAccount,
            cost: Long,
            done: (QuotaDecision) -> Unit,
        ): Unit = done(QuotaDecision.Admitted)

        override fun giveBack(
            account: ClientAccount,
            cost: Long,
        ) = Unit
    }
}
