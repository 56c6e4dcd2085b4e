package plantainturn.relay.peer

import kotlinx.serialization.Serializable

/**
 * A node's request to the issuer for a part of an account's quota.
 *
 * @property node identifies this run of the node
 * @property costs the units that each of the waiting requests needs, in the order of their arrival
 * @property admitted what the node has admitted of this account without asking
 */
@Serializable
internal data class QuotaWish(
    val node: String,
    val account: String,
    val costs: List<Long>,
    val admitted: AdmittedReport,
)
