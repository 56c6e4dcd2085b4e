package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.request.quota.QuotaGrant
import kotlin.time.Duration.Companion.milliseconds

/**
 * The issuer's answer to a [QuotaWish].
 *
 * @property units the sum of the costs that are granted, in the order in which they were named
 * @property refusedCost the smallest cost that is not granted, null if all are
 * @property wait milliseconds until [refusedCost] may be granted
 * @property bound whether nodes have to ask for what they admit
 * @property level the units that are left, for the log
 */
@Serializable
internal data class QuotaAnswer(
    val units: Long,
    val refusedCost: Long?,
    val wait: Long,
    val bound: Boolean,
    val level: Long,
) {
    fun toGrant(): QuotaGrant = QuotaGrant(units, refusedCost, wait.milliseconds, bound, level.toDouble())
}
