package plantainturn.relay.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.SocketLocation
import plantainturn.process.ResultCode
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.http.HttpCall
import plantainturn.relay.http.HttpClient
import plantainturn.relay.request.QuotaAdmission
import plantainturn.relay.request.QuotaDecision
import plantainturn.request.quota.AdmittedTotals
import plantainturn.request.quota.NodeQuotas
import plantainturn.request.quota.NodeVerdict
import plantainturn.version.route.AccountQuota
import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import plantainturn.version.route.RoutingSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Admits requests within the quotas of their accounts, by itself or by asking the issuer, which may be this node.
 *
 * Requests of one account that have to wait for an answer of the issuer go into one call at a time.
 *
 * @param node identifies this run of the node
 * @param issuerLocation returns where the issuer's peers reach it, as far as known
 * @param isIssuerMissing returns whether the issuer has been silent for so long that it should not be waited for
 */
internal class QuotaClient(
    private val node: String,
    private val lease: StoreLease,
    private val desk: QuotaDesk,
    private val quotas: NodeQuotas,
    private val routing: RoutingSource,
    private val caller: HttpClient,
    private val timer: TimerService,
    private val metrics: QuotaMetrics,
    private val issuerLocation: () -> SocketLocation?,
    private val isIssuerMissing: () -> Boolean,
) : QuotaAdmission {
    private val logger = LogManager.getLogger("quota")
    private val waiting = HashMap<ClientAccountName, ArrayDeque<Waiting>>()
    private val asking = HashSet<ClientAccountName>()
    private val levels = HashMap<ClientAccountName, Long>()
    private var heardAt = Moment.ORIGIN
    private var callFailed = false

    /** The units of each account that this node has admitted without asking, less what was given back. */
    val admitted: Map<ClientAccountName, Long>
        get() = if (routing.current?.accounts == null) emptyMap() else quotas.admitted

    override fun admit(
        account: ClientAccount,
        cost: Long,
        done: (QuotaDecision) -> Unit,
    ) {
        val quota = account.quota ?: return done(QuotaDecision.Admitted)
        decide(Waiting(account.name, quota, cost, done))
    }

    override fun giveBack(
        account: ClientAccount,
        cost: Long,
    ) {
        if (account.quota != null) quotas.giveBack(account.name, cost)
    }

    /**
     * Returns what the next report to the issuer carries, null if the configuration has no accounts.
     *
     * @param whole whether the issuer has not heard anything of this node
     */
    fun createReport(whole: Boolean): AdmittedReport? =
        if (routing.current?.accounts == null) null else AdmittedReport.of(quotas.totals(whole))

    /** Takes in [answer], the issuer's answer to a report that carried [sent] and was sent at [sentAt]. */
    fun onReport(
        sent: AdmittedReport?,
        answer: IssuerReport,
        sentAt: Moment,
    ) {
        val configuration = routing.current ?: return
        val accounts = configuration.accounts?.byName ?: return
        if (sent == null || answer.boundAccounts == null) return
        heard()
        // A desk with an earlier configuration does not count accounts or limits that are new.
        val isBehind = answer.configurationVersion < configuration.version.number
        val bound = if (isBehind) accounts.keys else answer.boundAccounts.mapTo(HashSet(), ::ClientAccountName)
        quotas.onReport(sent.decode(), bound, accounts.keys, sentAt)
    }

    private fun decide(
        request: Waiting,
        deskIsSilent: Boolean = isDeskSilent(),
    ) {
        val verdict = quotas.decide(request.account, request.quota, request.cost, deskIsSilent, timer.now())
        when (verdict) {
            NodeVerdict.Admitted -> request.done(QuotaDecision.Admitted)
            NodeVerdict.Ask -> ask(request)
            is NodeVerdict.Exceeded -> refuse(request, ResultCode.QUOTA_EXCEEDED, verdict.wait)
            is NodeVerdict.Unavailable -> refuse(request, ResultCode.QUOTA_UNAVAILABLE, verdict.wait)
        }
    }

    private fun isDeskSilent(): Boolean =
        callFailed || lease.fence == null && (issuerLocation() == null || isIssuerMissing())

    private fun ask(request: Waiting) {
        waiting.getOrPut(request.account) { ArrayDeque() } += request
        if (asking.add(request.account)) call(request.account)
    }

    /** Asks for the requests of [account] that wait, in one call. */
    private fun call(account: ClientAccountName) {
        val queue = waiting.getValue(account)
        val batch = List(minOf(queue.size, LARGEST_BATCH)) { queue.removeFirst() }
        val totals = quotas.totalOf(account)
        val wish = QuotaWish(node, account.value, batch.map { it.cost }, AdmittedReport.of(totals))
        val sentAt = timer.now()
        val onAnswer = { answer: QuotaAnswer? ->
            metrics.onCall(answered = answer != null)
            if (answer == null) onSilence(batch, sentAt) else onGrant(account, batch, totals, answer, sentAt)
            decideNext(account)
        }
        val location = issuerLocation()
        if (lease.fence != null || location == null) return onAnswer(desk.ask(wish))
        val body = Json.encodeToString(QuotaWish.serializer(), wish).toByteArray()
        caller.call(location, HttpCall(HttpMethod.POST, PATH, body), TIMEOUT) { result ->
            val answer = PeerMessage.decode(result, QuotaAnswer.serializer())
            if (answer == null) logger.info("account={} event=quota-unanswered result={}", account, result)
            onAnswer(answer)
        }
    }

    private fun onGrant(
        account: ClientAccountName,
        batch: List<Waiting>,
        totals: AdmittedTotals,
        answer: QuotaAnswer,
        sentAt: Moment,
    ) {
        heard()
        levels[account] = answer.level
        quotas.onGrant(account, totals, answer.toGrant(), sentAt, timer.now())
        var left = answer.units
        for (request in batch) {
            if (request.cost <= left) {
                left -= request.cost
                request.done(QuotaDecision.Admitted)
            } else {
                refuse(request, ResultCode.QUOTA_EXCEEDED, answer.wait.milliseconds)
            }
        }
    }

    private fun onSilence(
        batch: List<Waiting>,
        sentAt: Moment,
    ) {
        if (heardAt <= sentAt) callFailed = true
        // Not asked again, since the desk may have charged for the call whose answer was lost.
        for (request in batch) decide(request, deskIsSilent = true)
    }

    private fun decideNext(account: ClientAccountName) {
        asking -= account
        val next = waiting.remove(account) ?: return
        next.forEach { decide(it) }
    }

    private fun heard() {
        heardAt = timer.now()
        callFailed = false
    }

    private fun refuse(
        request: Waiting,
        code: ResultCode,
        wait: Duration,
    ) {
        metrics.onRefusal(request.account, code)
        logger.info(
            "account={} event=quota-refused code={} cost={} level={} open={} heardBefore={} wait={}",
            request.account,
            code.number,
            request.cost,
            levels[request.account],
            quotas.isOpen(request.account),
            timer.now() - heardAt,
            wait,
        )
        val isExceeded = code == ResultCode.QUOTA_EXCEEDED
        request.done(if (isExceeded) QuotaDecision.Exceeded(wait) else QuotaDecision.Unavailable(wait))
    }

    private class Waiting(
        val account: ClientAccountName,
        val quota: AccountQuota,
        val cost: Long,
        val done: (QuotaDecision) -> Unit,
    )

    internal companion object {
        const val PATH = "/peer/quota"

        /** Many times what a message between nodes takes. */
        private val TIMEOUT = 400.milliseconds

        /** Bounds the size of a message; the requests beyond it go into the next one. */
        private const val LARGEST_BATCH = 256
    }
}
