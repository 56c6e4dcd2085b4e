package plantainturn.request.quota

import kotlinx.collections.immutable.PersistentMap
import plantainturn.process.time.Moment
import plantainturn.version.route.ClientAccount
import plantainturn.version.route.ClientAccountName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts what all nodes use of the accounts' quotas, during one lease of the issuer.
 *
 * Load pattern: small accounts have less than one request per node in their burst, and an account may send several
 * times its usual load from one moment to the next. Nodes admit requests by themselves while an account's bucket is far
 * from empty, and report the sums; otherwise they ask. All buckets begin empty and bound. Confined to one thread.
 */
public class QuotaLedger(
    private val terms: QuotaTerms,
    startedAt: Moment,
) {
    private val buckets = HashMap<ClientAccountName, QuotaBucket>()
    private val processes = HashMap<String, ProcessTotals>()
    private var accounts: PersistentMap<ClientAccountName, ClientAccount>? = null
    private var forgottenAt = startedAt

    /** The state of each account that has a quota. */
    public val levels: Map<ClientAccountName, AccountLevel>
        get() = buckets.mapValues { (_, bucket) -> AccountLevel(bucket.level, bucket.isBound) }

    /** The accounts for which nodes have to ask. */
    public val bound: Set<ClientAccountName>
        get() = buckets.filterValues { it.isBound }.keys

    /**
     * Brings all buckets up to [now].
     *
     * @param configured the accounts in force
     * @param refill the part of each rate that this desk may grant: less than 1 if other processes may be using a part
     */
    public fun advance(
        configured: PersistentMap<ClientAccountName, ClientAccount>,
        refill: Double,
        now: Moment,
    ) {
        buckets.values.forEach { it.advance(refill, now) }
        if (configured !== accounts) configure(configured, now)
        if (now - forgottenAt > FORGET_AFTER) {
            forgottenAt = now
            processes.values.removeIf { now - it.heardAt > FORGET_AFTER }
        }
    }

    /** Charges what [process] has admitted since its totals were last heard. */
    public fun report(
        process: String,
        totals: AdmittedTotals,
        now: Moment,
    ) {
        val known = processes.getOrPut(process) { ProcessTotals() }
        known.heardAt = now
        for ((account, change) in known.update(totals)) buckets[account]?.charge(change.toDouble())
    }

    /**
     * Grants what [account]'s bucket has room for of the [costs] of requests, in their order; null if the account has
     * no quota.
     */
    public fun ask(
        account: ClientAccountName,
        costs: List<Long>,
    ): QuotaGrant? {
        val bucket = buckets[account] ?: return null
        val (granted, refused) = costs.partition(bucket::tryTake)
        val refusedCost = refused.minOrNull()
        val wait = refusedCost?.let { maxOf(bucket.waitFor(it), QuotaTiming.MINIMUM_REFUSAL) } ?: Duration.ZERO
        return QuotaGrant(granted.sum(), refusedCost, wait, bucket.isBound, bucket.level)
    }

    private fun configure(
        configured: PersistentMap<ClientAccountName, ClientAccount>,
        now: Moment,
    ) {
        accounts = configured
        buckets.keys.removeIf { configured[it]?.quota == null }
        for ((name, account) in configured) {
            val quota = account.quota ?: continue
            buckets.getOrPut(name) { QuotaBucket(quota, terms, now) }.change(quota)
        }
    }

    private companion object {
        /** Many times the longest silence of a process whose admitted requests still matter. */
        val FORGET_AFTER = 60.seconds
    }
}
