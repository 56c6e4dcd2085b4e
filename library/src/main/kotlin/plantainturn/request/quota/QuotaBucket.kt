package plantainturn.request.quota

import plantainturn.process.time.Moment
import plantainturn.version.route.AccountQuota
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What is left of one account's quota at the desk.
 *
 * A request fits if the token bucket has room for it, or if all that was charged within the window stays below the
 * quota: a bucket alone refuses large requests of a small account that happen to coincide, although the account stays
 * below its quota. The bucket begins empty, as an earlier desk may have granted all there was. Its level may fall below
 * zero, since nodes report what they have already admitted.
 */
internal class QuotaBucket(
    private var quota: AccountQuota,
    private val terms: QuotaTerms,
    private val startedAt: Moment,
) {
    private val charged = WindowSum(terms.window)
    private var advancedAt = startedAt
    private var refill = 1.0

    var level = 0.0
        private set

    /** Whether nodes have to ask for what they admit. */
    var isBound = true
        private set

    private val unitsInWindow: Double
        get() = quota.perSecond * refill * terms.window.toDouble(DurationUnit.SECONDS)

    fun change(changed: AccountQuota) {
        quota = changed
        settle()
    }

    /** Refills the bucket up to [now] at the part [currentRefill] of the account's rate. */
    fun advance(
        currentRefill: Double,
        now: Moment,
    ) {
        refill = currentRefill
        level += quota.perSecond * refill * (now - advancedAt).toDouble(DurationUnit.SECONDS)
        advancedAt = now
        charged.advance(now)
        settle()
    }

    /** Subtracts [amount], which is negative for what was given back. */
    fun charge(amount: Double) {
        level -= amount
        charged.add(amount, advancedAt)
        settle()
    }

    /** Subtracts [cost] if it fits; a full bucket has room for any cost. */
    fun tryTake(cost: Long): Boolean {
        val granted = quota.perSecond > 0 && (level >= minOf(cost.toDouble(), quota.burst) || fitsWindow(cost))
        if (granted) charge(cost.toDouble())
        return granted
    }

    /** Returns the time until [tryTake] grants [cost] if nobody else takes anything meanwhile. */
    fun waitFor(cost: Long): Duration {
        val unitsPerSecond = quota.perSecond * refill
        if (unitsPerSecond <= 0) return LONGEST_WAIT
        val byLevel = ((minOf(cost.toDouble(), quota.burst) - level) / unitsPerSecond).seconds
        val byWindow = maxOf(((cost - terms.debtOf(quota) - level) / unitsPerSecond).seconds, waitForWindow(cost))
        return minOf(byLevel, byWindow).coerceIn(Duration.ZERO, LONGEST_WAIT)
    }

    private fun waitForWindow(cost: Long): Duration {
        val leavesAt = charged.fallsTo(windowLimit() - cost, advancedAt) ?: return LONGEST_WAIT
        return maxOf(leavesAt, startedAt + terms.window) - advancedAt
    }

    private fun fitsWindow(cost: Long): Boolean {
        val anotherDeskGranted = advancedAt - startedAt < terms.window
        return !anotherDeskGranted && level - cost >= -terms.debtOf(quota) && charged.sum + cost <= windowLimit()
    }

    private fun windowLimit() = unitsInWindow + quota.burst

    private fun settle() {
        // What was used in excess before the window no longer matters.
        level = level.coerceIn(-quota.perSecond * terms.window.toDouble(DurationUnit.SECONDS), quota.burst)
        val debt = terms.debtOf(quota)
        val filled = (level + debt) / (quota.burst + debt)
        if (filled < BOUND_BELOW) isBound = true
        if (filled > OPEN_ABOVE) isBound = false
    }

    private companion object {
        const val BOUND_BELOW = 0.5

        /** Well above [BOUND_BELOW], so that an account does not change its state with each request. */
        const val OPEN_ABOVE = 0.8

        /** A limit may be raised meanwhile. */
        val LONGEST_WAIT = 60.seconds
    }
}
