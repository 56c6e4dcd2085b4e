package plantainturn.relay.request

import org.junit.jupiter.api.Test
import plantainturn.version.route.AccountQuota
import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.QuotaUnit
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class QuotaChargeTest {
    private val admission = RecordingAdmission()
    private val charge = QuotaCharge(admission, declaredTokens = 30)
    private val first = account("a1")

    /** Guards against a request that is charged for each server that it is tried at, or keeps its charge unrun. */
    @Test
    fun `a request is charged once and gives it back if nothing ran`() {
        assertFalse(charge.covers(first))
        charge.request(first) {}
        assertTrue(charge.isPending)
        admission.answer(QuotaDecision.Admitted)

        assertTrue(charge.covers(first))
        charge.close(mayHaveRun = false)
        charge.close(mayHaveRun = false)
        assertEquals(listOf("admit a1 30", "give back a1 30"), admission.calls)
    }

    /** Guards against work that a caller gets for nothing. */
    @Test
    fun `a request that may have run keeps its charge`() {
        charge.request(first) {}
        admission.answer(QuotaDecision.Admitted)
        charge.close(mayHaveRun = true)

        assertEquals(listOf("admit a1 30"), admission.calls)
    }

    /** Guards against quota that is lost for requests that ended, by their deadline or caller, before the decision. */
    @Test
    fun `an admission that comes after the request's end is given back`() {
        var told = false
        charge.request(first) { told = true }
        charge.close(mayHaveRun = false)
        admission.answer(QuotaDecision.Admitted)

        assertFalse(told)
        assertEquals(listOf("admit a1 30", "give back a1 30"), admission.calls)
    }

    /** Guards against an account that pays for requests of another one. */
    @Test
    fun `a key that moves to another account moves the charge`() {
        charge.request(first) {}
        admission.answer(QuotaDecision.Admitted)
        val second = account("a2")

        assertFalse(charge.covers(second))
        charge.request(second) {}
        admission.answer(QuotaDecision.Admitted)

        assertEquals(listOf("admit a1 30", "give back a1 30", "admit a2 30"), admission.calls)
    }

    /** Guards against quota that is given back without having been charged. */
    @Test
    fun `a refused request gives nothing back`() {
        charge.request(first) {}
        admission.answer(QuotaDecision.Exceeded(1.seconds))
        charge.close(mayHaveRun = false)

        assertEquals(listOf("admit a1 30"), admission.calls)
        assertTrue(charge.covers(ClientAccount(ClientAccountName("a3"), null, quota = null)))
    }

    private fun account(name: String) =
        ClientAccount(ClientAccountName(name), null, AccountQuota(QuotaUnit.TOKENS, 1.0, 1.0, 1))

    private class RecordingAdmission : QuotaAdmission {
        val calls = ArrayList<String>()
        private var waiting: ((QuotaDecision) -> Unit)? = null

        override fun admit(
            account: ClientAccount,
            cost: Long,
            done: (QuotaDecision) -> Unit,
        ) {
            calls += "admit ${account.name} $cost"
            waiting = done
        }

        override fun giveBack(
            account: ClientAccount,
            cost: Long,
        ) {
            calls += "give back ${account.name} $cost"
        }

        fun answer(decision: QuotaDecision) {
            waiting?.invoke(decision)
            waiting = null
        }
    }
}
