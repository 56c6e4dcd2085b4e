package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.process.time.Moment
import plantainturn.request.relay.PermitRequest
import kotlin.time.Duration.Companion.milliseconds

/**
 * A node's request to the issuer for a permit to send one request to an instance.
 *
 * @property limit what the node knows of the instance's limit
 * @property inTimeFor milliseconds for which the permit comes in time for the objective of the caller's request
 * @property patience milliseconds for which the permit is of use
 * @property places the number of requests that the instance runs at once, if it is brittle; null for a rate only
 * @property hold milliseconds that the request should take there
 * @property refusals how many requests the instance has turned away from the node since it last told
 */
@Serializable
internal data class PermitWish(
    val node: String,
    val limit: RelayedLimit,
    val urgency: Int,
    val inTimeFor: Long,
    val patience: Long,
    val places: Int? = null,
    val hold: Long = 0,
    val refusals: Int = 0,
) {
    fun toRequest(now: Moment): PermitRequest =
        PermitRequest(
            urgency,
            now + inTimeFor.milliseconds,
            now + patience.milliseconds,
            places,
            hold.milliseconds,
            refusals,
        )
}
