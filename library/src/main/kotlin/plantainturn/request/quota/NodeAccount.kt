package plantainturn.request.quota

import plantainturn.process.time.DecayingSum
import plantainturn.process.time.Moment
import plantainturn.version.route.AccountQuota
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What one node knows of an account's quota, and what it has admitted of it. */
internal class NodeAccount(
    private val random: Random,
) {
    private var heardTotal = 0L
    private var heardAt = Moment.ORIGIN
    private var heardSequence = -1L
    private var refusal: Refusal? = null
    private var local: LocalBucket? = null
    private var overdrawnUntil = Moment.ORIGIN
    private val recent = DecayingSum(QuotaTiming.RECENT_USE)

    /** Units admitted without asking, less all that was given back. */
    var total = 0L
        private set

    /** Whether the desk has to be asked; true until it has said otherwise. */
    var bound = true
        private set

    val hasUnheard: Boolean
        get() = total != heardTotal

    fun decide(
        quota: AccountQuota,
        cost: Long,
        share: Double,
        deskIsSilent: Boolean,
        now: Moment,
    ): NodeVerdict {
        refusal?.waitFor(cost, quota, now)?.let { return NodeVerdict.Exceeded(it) }
        return when {
            mayAdmitOpen(quota, cost, share, now) -> admit(cost, now)
            deskIsSilent -> decideAlone(cost, quota, share, now)
            else -> NodeVerdict.Ask
        }
    }

    /**
     * Returns the part of the rate that the node may use without a desk.
     *
     * Callers are spread unevenly, so that equal parts leave some unused while other nodes refuse. A node with more
     * than its share keeps most of its recent use, which with that of all nodes is at most the quota; one with less
     * does not use its share.
     */
    private fun partOf(
        quota: AccountQuota,
        share: Double,
        now: Moment,
    ): Double {
        if (share <= 0.0) return 0.0
        val used = (recent.perSecond(now) / quota.perSecond).coerceAtMost(1.0)
        return maxOf(share, share * QuotaTiming.EQUAL_PART + used * (1.0 - QuotaTiming.EQUAL_PART))
    }

    private fun decideAlone(
        cost: Long,
        quota: AccountQuota,
        share: Double,
        now: Moment,
    ): NodeVerdict {
        val part = partOf(quota, share, now)
        if (mayOverdraw(now)) {
            val repaid = if (part > 0) (cost / (quota.perSecond * part)).seconds else NodeQuotas.SHARE_TERM
            overdrawnUntil = now + repaid.coerceAtMost(NodeQuotas.SHARE_TERM)
            return admit(cost, now)
        }
        // Kept while the desk answers again: a slow desk is silent often and for a moment.
        val bucket = local ?: LocalBucket(random, advancedAt = heardAt).also { local = it }
        val burst = quota.burst * part * QuotaTiming.LOCAL_BURST
        val wait = bucket.take(cost, quota.perSecond * part, burst, now)
        return wait?.let { NodeVerdict.Unavailable(it) } ?: admit(cost, now)
    }

    fun giveBack(units: Long) {
        total -= units
    }

    /** Records that the desk heard [units], null if they had not changed, in the message [sequence] of [sentAt]. */
    fun onHeard(
        units: Long?,
        sequence: Long,
        nowBound: Boolean,
        sentAt: Moment,
    ) {
        if (sequence <= heardSequence) return
        heardSequence = sequence
        heardTotal = units ?: heardTotal
        heardAt = sentAt
        bound = nowBound
    }

    fun onGrant(
        grant: QuotaGrant,
        now: Moment,
    ) {
        recent.add(grant.units.toDouble(), now)
        refusal = grant.refusedCost?.let { Refusal(it, now + grant.wait) }
    }

    private fun mayAdmitOpen(
        quota: AccountQuota,
        cost: Long,
        share: Double,
        now: Moment,
    ): Boolean {
        if (!isOpen(now)) return false
        val age = now - heardAt
        val unheard = total - heardTotal
        val lead = age + minOf(age, QuotaTiming.OPEN_LEAD)
        val allowed = quota.perSecond * share * lead.toDouble(DurationUnit.SECONDS)
        return unheard + cost <= allowed
    }

    /**
     * Returns whether an open account may have one request beyond its part, as it may when the desk is lost.
     *
     * Desks that are lost one after the other would otherwise each allow another one.
     */
    private fun mayOverdraw(now: Moment) = isOpen(now) && total <= heardTotal && now >= overdrawnUntil

    private fun isOpen(now: Moment) = !bound && now - heardAt <= QuotaTiming.OPEN_WITHOUT_DESK

    private fun admit(
        cost: Long,
        now: Moment,
    ): NodeVerdict {
        total += cost
        recent.add(cost.toDouble(), now)
        return NodeVerdict.Admitted
    }

    /** The desk's word that it has no room for [cost] until [until]; smaller requests may still be granted. */
    private class Refusal(
        private val cost: Long,
        private val until: Moment,
    ) {
        fun waitFor(
            asked: Long,
            quota: AccountQuota,
            now: Moment,
        ): Duration? =
            if (now >= until || asked < cost) {
                null
            } else if (quota.perSecond > 0) {
                until - now + ((asked - cost) / quota.perSecond).seconds
            } else {
                until - now
            }
    }
}
