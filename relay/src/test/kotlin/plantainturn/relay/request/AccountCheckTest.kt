package plantainturn.relay.request

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import plantainturn.process.ResultCode
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.route.AccessKeyDigest
import plantainturn.version.route.CallerLimits
import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.ClientAccounts
import plantainturn.version.route.RouteTable
import plantainturn.version.route.RoutingConfiguration
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AccountCheckTest {
    private val key = AccessKeyDigest.of("key-1")
    private val unknown = AccessKeyDigest.of("key-2")
    private val account = ClientAccount(ClientAccountName("a1"), urgency = 1, quota = null)

    /** Guards against a 401, which callers never retry, where a later configuration may hold the key. */
    @Test
    fun `an unknown or missing key is refused for good only by a configuration that was just confirmed`() {
        for (absent in listOf(unknown, null)) {
            assertEquals(ResultCode.TEAM_NOT_RECOGNISED, refusal(check(age = 2.seconds), absent).code)
            assertNull(refusal(check(age = 2.seconds), absent).retryAfter)
            for (unsure in listOf(check(age = 2_001.milliseconds), check(age = null), check(laterKnown = true))) {
                assertEquals(ResultCode.CONFIGURATION_OUTDATED, refusal(unsure, absent).code)
                assertNotNull(refusal(unsure, absent).retryAfter)
            }
        }
    }

    /** Guards against outages of the store that stop callers whose keys are in force. */
    @Test
    fun `a known key is served however old the configuration is`() {
        for (check in listOf(check(age = 1.seconds), check(age = null), check(laterKnown = true))) {
            assertEquals(
                AccountDecision.Permitted(account, hasAccounts = true),
                check.decide(configuration(), false, key),
            )
        }
    }

    /** Guards against a strict deployment that serves a key that may have been revoked long ago. */
    @Test
    fun `a strict check serves no key without a confirmation in time, but public routes`() {
        val late = check(age = 3_001.milliseconds, strictAfter = 3.seconds)

        assertEquals(ResultCode.CONFIGURATION_OUTDATED, refusal(late, key).code)
        assertEquals(ResultCode.CONFIGURATION_OUTDATED, refusal(late, null).code)
        assertIs<AccountDecision.Permitted>(late.decide(configuration(), true, null))
        val inTime = check(age = 3.seconds, strictAfter = 3.seconds)
        assertIs<AccountDecision.Permitted>(inTime.decide(configuration(), false, key))
    }

    /** Guards against public routes that lose the account, and so its quota and urgency, of a known key. */
    @Test
    fun `a public route needs no key and knows the account of one`() {
        val check = check(age = null)

        assertEquals(AccountDecision.Permitted(account, hasAccounts = true), check.decide(configuration(), true, key))
        assertEquals(AccountDecision.Permitted(null, hasAccounts = true), check.decide(configuration(), true, unknown))
    }

    /** Guards against keys that are asked for where the configuration has no accounts, strict or not. */
    @Test
    fun `without accounts every request is permitted`() {
        val check = check(age = null, strictAfter = 1.seconds)
        val permitted = AccountDecision.Permitted(null, hasAccounts = false)

        assertEquals(permitted, check.decide(configuration(accounts = null), false, unknown))
    }

    private fun refusal(
        check: AccountCheck,
        key: AccessKeyDigest?,
    ): AccountDecision.Refused = assertIs(check.decide(configuration(), false, key))

    private fun check(
        age: Duration? = Duration.ZERO,
        laterKnown: Boolean = false,
        strictAfter: Duration? = null,
    ) = AccountCheck(
        object : ConfigurationCurrency {
            override val confirmationAge = age
            override val isLaterKnown = laterKnown
            override val isSuperseded = false
        },
        strictAfter,
    )

    private fun configuration(
        accounts: ClientAccounts? =
            ClientAccounts(persistentMapOf(key to account), persistentMapOf(account.name to account)),
    ) = RoutingConfiguration(
        ConfigurationVersion(1),
        RouteTable(persistentListOf()),
        persistentMapOf(),
        CallerLimits.INITIAL,
        accounts,
    )
}
