package plantainturn.relay.request

import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.Route
import plantainturn.version.route.RoutingConfiguration

/**
 * The client account of one request, looked up when the request is complete and again until it is sent.
 *
 * @param route the route of the request at its arrival
 * @property terms the terms on which another node has handed the request over, null for a caller's own
 */
internal class RequestAccount(
    private val context: RelayContext,
    private val request: RelayRequest,
    private val route: Route,
    val terms: ForwardTerms? = null,
) {
    /** The account that held the request's key at the last look-up, null if there is none. */
    var account: ClientAccount? = null
        private set

    /** Whether the configuration had client accounts at any look-up, so that instances must not receive the key. */
    var hasAccounts: Boolean = false
        private set

    /** The rank of the request, 0 is the most urgent: that of its account, or else that of its route. */
    val urgency: Int
        get() = account?.urgency ?: route.urgency

    /** Looks the account up in the configuration in force. Returns why the request must not run, or null if it may. */
    fun lookUp(): AccountDecision.Refused? {
        val configuration = context.routing.current ?: return null
        if (terms != null) {
            adopt(terms, configuration)
            return null
        }
        // A later configuration may have another route for the request, which does not change where it is sent.
        val current = configuration.table.find(request.host, request.path) ?: route
        return when (val decision = context.accounts.decide(configuration, current.isPublic, request.accessKey)) {
            is AccountDecision.Refused -> decision
            is AccountDecision.Permitted -> {
                account = decision.account
                hasAccounts = hasAccounts || decision.hasAccounts
                null
            }
        }
    }

    /** The node that has handed the request over has checked its key and charged its quota. */
    private fun adopt(
        terms: ForwardTerms,
        configuration: RoutingConfiguration,
    ) {
        val name = terms.account?.let(::ClientAccountName)
        hasAccounts = terms.hasAccounts
        account =
            name?.let { configuration.accounts?.byName?.get(it) ?: ClientAccount(it, route.urgency, quota = null) }
    }
}
