package plantainturn.relay.request

import plantainturn.process.ResultCode
import plantainturn.version.route.AccessKeyDigest
import plantainturn.version.route.RoutingConfiguration
import kotlin.time.Duration

/**
 * Decides to which client account a request belongs, and whether its access key lets it run.
 *
 * Clients never retry after [ResultCode.TEAM_NOT_RECOGNISED], so that is returned only if no later configuration can
 * hold the key.
 *
 * @property currency how far the configuration can be relied on
 * @param strictAfter the age of the last confirmation from which requests that need a key are refused, null to let the
 *   last known state hold
 */
internal class AccountCheck(
    val currency: ConfigurationCurrency,
    private val strictAfter: Duration?,
) {
    /** Decides on a request with [key], null if it carries none or several, on a route that [isPublic] or not. */
    fun decide(
        configuration: RoutingConfiguration,
        isPublic: Boolean,
        key: AccessKeyDigest?,
    ): AccountDecision {
        val accounts = configuration.accounts ?: return AccountDecision.Permitted(null, hasAccounts = false)
        val account = key?.let(accounts::find)
        return when {
            isPublic -> AccountDecision.Permitted(account, hasAccounts = true)
            strictAfter != null && !currency.isConfirmedWithin(strictAfter) -> outdated("strict", key)
            account != null -> AccountDecision.Permitted(account, hasAccounts = true)
            !currency.permitsDenial -> outdated("unknown-key", key)
            else -> AccountDecision.Refused(ResultCode.TEAM_NOT_RECOGNISED, describe("unknown-key", key), null)
        }
    }

    private fun outdated(
        rule: String,
        key: AccessKeyDigest?,
    ) = AccountDecision.Refused(
        ResultCode.CONFIGURATION_OUTDATED,
        describe(rule, key),
        RequestLimits.OUTDATED_RETRY_AFTER,
    )

    /** The beginning of the digest lets an operator who has the key find its line. */
    private fun describe(
        rule: String,
        key: AccessKeyDigest?,
    ) = "rule=$rule keyDigest=${key?.hexadecimal?.take(LOGGED_DIGITS)} ${currency.describe()}"

    private companion object {
        const val LOGGED_DIGITS = 12
    }
}
