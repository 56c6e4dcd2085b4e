package plantainturn.request.quota

import org.junit.jupiter.api.Test
import plantainturn.process.time.Moment
import plantainturn.version.route.AccountQuota
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.QuotaUnit
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NodeQuotasTest {
    private val account = ClientAccountName("account")
    private val quota = AccountQuota(QuotaUnit.TOKENS, perSecond = 10_000.0, burst = 10_000.0, plainTokens = 200)
    private var share = 0.1
    private val quotas = NodeQuotas(Random(1)) { share }
    private var now = Moment.ORIGIN + 1_000.seconds

    @Test
    fun `a node asks until it has heard that the account is open, and for all beyond its part`() {
        assertEquals(NodeVerdict.Ask, decide(100))
        hear(bound = false)
        now += 200.milliseconds

        assertEquals(NodeVerdict.Admitted, decide(400))
        assertEquals(NodeVerdict.Ask, decide(1))
        hear(bound = true)
        now += 200.milliseconds
        assertEquals(NodeVerdict.Ask, decide(1))
    }

    /** Guards against two admissions on one part of the rate, when a report is lost or answered late. */
    @Test
    fun `what the desk has not heard counts until it answers`() {
        hear(bound = false)
        now += 200.milliseconds
        decide(400)
        val lost = quotas.totals(whole = false)
        val later = quotas.totals(whole = false)

        assertEquals(mapOf(account to 400L), later.units)
        quotas.onReport(later, emptySet(), setOf(account), now)
        quotas.onReport(lost, setOf(account), setOf(account), now)
        assertEquals(true, quotas.isOpen(account), "the answer to the earlier report came later")
        assertEquals(emptyMap(), quotas.totals(whole = false).units)
    }

    @Test
    fun `without a desk an open account is open for one request and then keeps to the node's part`() {
        hear(bound = false)
        now += 1.seconds

        assertEquals(NodeVerdict.Admitted, decide(5_000, silent = true))
        assertIs<NodeVerdict.Unavailable>(decide(5_000, silent = true))
        val first = admittedIn(50.seconds)
        val second = admittedIn(50.seconds)
        assertEquals(100.0, second.toDouble(), absoluteTolerance = 6.0, "its share, once its recent use has settled")
        assertTrue(first + second <= 212, "no more than its share before: $first and $second")
    }

    private fun admittedIn(duration: Duration): Int =
        (1..(duration / 100.milliseconds).toInt()).count {
            now += 100.milliseconds
            decide(500, silent = true) == NodeVerdict.Admitted
        }

    @Test
    fun `a node whose share has lapsed admits nothing without a desk`() {
        hear(bound = true)
        share = 0.0
        now += 30.seconds

        assertIs<NodeVerdict.Unavailable>(decide(1, silent = true))
    }

    @Test
    fun `a refusal holds for as long as the desk said, and not for smaller requests`() {
        val totals = quotas.totalOf(account)
        val refusal = QuotaGrant(0, refusedCost = 1_000, 2.seconds, bound = true, level = 0.0)
        quotas.onGrant(account, totals, refusal, now, now)

        assertEquals(NodeVerdict.Exceeded(2.seconds), decide(1_000))
        assertEquals(NodeVerdict.Exceeded(2_100.milliseconds), decide(2_000))
        assertEquals(NodeVerdict.Ask, decide(999))
        now += 2.seconds
        assertEquals(NodeVerdict.Ask, decide(1_000))
    }

    @Test
    fun `an account without a rate is refused without a message`() {
        val nothing = quota.copy(perSecond = 0.0, burst = 0.0)

        assertIs<NodeVerdict.Exceeded>(quotas.decide(account, nothing, 1, deskIsSilent = false, now))
    }

    private fun hear(
        bound: Boolean,
        sentAt: Moment = now,
    ) = quotas.onReport(quotas.totals(whole = true), if (bound) setOf(account) else emptySet(), setOf(account), sentAt)

    private fun decide(
        cost: Long,
        silent: Boolean = false,
    ): NodeVerdict = quotas.decide(account, quota, cost, silent, now)
}
