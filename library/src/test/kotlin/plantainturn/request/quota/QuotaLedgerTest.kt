package plantainturn.request.quota

import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.route.AccountQuota
import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.QuotaUnit
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class QuotaLedgerTest {
    private val name = ClientAccountName("account")
    private var now = Moment.ORIGIN + 1_000.seconds
    private val ledger = QuotaLedger(QuotaTerms(tolerance = 0.0), now)
    private var accounts = accountsOf(1_000.0)
    private var sequence = 0L

    init {
        pass(0)
    }

    /** Guards against a second burst by a desk that takes over from one that has just granted it. */
    @Test
    fun `a desk begins empty and bound`() {
        assertEquals(setOf(name), ledger.bound)
        assertEquals(0, ask(10).units)
        pass(100)
        assertEquals(100, ask(10, 90).units)
    }

    @Test
    fun `an account is open once its bucket has filled and bound again when half is used`() {
        pass(2_000)
        assertEquals(emptySet(), ledger.bound)
        ask(300)
        assertEquals(emptySet(), ledger.bound)
        ask(500)
        assertEquals(setOf(name), ledger.bound)
        pass(100)
        assertEquals(setOf(name), ledger.bound)
    }

    @Test
    fun `only the differences of totals are charged, and give-backs are added`() {
        report(5_000, whole = true)
        pass(2_000)
        report(5_400)
        assertEquals(600.0, level())
        report(5_100)
        assertEquals(900.0, level())
    }

    /** Guards against a charge of all that a process has ever admitted when it reports to a new desk. */
    @Test
    fun `an account's first total is charged only if the process said that there was none`() {
        pass(2_000)
        ledger.report("told", AdmittedTotals(0, whole = true, emptyMap()), now)
        ledger.report("told", AdmittedTotals(1, whole = false, mapOf(name to 100)), now)
        ledger.report("untold", AdmittedTotals(9, whole = false, mapOf(name to 700)), now)

        assertEquals(900.0, level())
    }

    @Test
    fun `totals that arrive late change nothing`() {
        pass(2_000)
        ledger.report("node", AdmittedTotals(0, whole = true, emptyMap()), now)
        ledger.report("node", AdmittedTotals(2, whole = false, mapOf(name to 300)), now)
        ledger.report("node", AdmittedTotals(1, whole = false, mapOf(name to 200)), now)

        assertEquals(700.0, level())
    }

    @Test
    fun `a refusal names the time after which the request is granted`() {
        pass(20_000)
        ask(1_000)
        while (ask(100).units > 0) Unit

        val wait = ask(500).wait
        pass(wait.inWholeMilliseconds - 20)
        assertEquals(0, ask(500).units)
        pass(140)
        assertEquals(500, ask(500).units)
    }

    @Test
    fun `a request that costs more than the burst is granted from a full bucket`() {
        pass(2_000)

        assertEquals(5_000, ask(5_000).units)
    }

    @Test
    fun `a lowered limit cuts the level, and a limit of nothing grants nothing`() {
        pass(2_000)
        accounts = accountsOf(100.0)
        pass(0)
        assertEquals(100.0, level())
        accounts = accountsOf(0.0)
        pass(0)

        assertEquals(0, ask(1).units)
    }

    @Test
    fun `an account without a quota is not known`() {
        assertNull(ledger.ask(ClientAccountName("other"), listOf(1)))
    }

    private fun level() = ledger.levels.getValue(name).units

    private fun ask(vararg costs: Long): QuotaGrant = assertNotNull(ledger.ask(name, costs.toList()))

    private fun report(
        units: Long,
        whole: Boolean = false,
    ) = ledger.report("node", AdmittedTotals(sequence++, whole, mapOf(name to units)), now)

    private fun pass(milliseconds: Long) {
        now += milliseconds.milliseconds
        ledger.advance(accounts, refill = 1.0, now)
    }

    private fun accountsOf(rate: Double) =
        persistentMapOf(name to ClientAccount(name, urgency = null, AccountQuota(QuotaUnit.TOKENS, rate, rate, 200)))
}
