package plantainturn.version.route

/**
 * A client account: the callers that share an urgency and a quota.
 *
 * @property urgency rank of its requests, which goes before that of the route; 0 is the most urgent, null for the
 *   route's
 * @property quota the limit on its requests, null for none
 */
public data class ClientAccount(
    val name: ClientAccountName,
    val urgency: Int?,
    val quota: AccountQuota?,
)
