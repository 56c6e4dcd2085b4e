package plantainturn.request.quota

import kotlin.time.Duration

/**
 * The desk's answer to a node that asked for a part of an account's quota.
 *
 * @property units the sum of the costs that were granted, in the order in which they were named
 * @property refusedCost the smallest cost that was not granted, null if all were
 * @property wait the time until the desk may grant [refusedCost]
 * @property bound whether nodes have to ask for what they admit
 * @property level the units that are left, negative for a debt
 */
public data class QuotaGrant(
    val units: Long,
    val refusedCost: Long?,
    val wait: Duration,
    val bound: Boolean,
    val level: Double,
)
