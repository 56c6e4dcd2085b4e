package plantainturn.relay.request

import plantainturn.request.relay.ReportedLoad

/**
 * Decoded headers of an upstream's answer.
 *
 * @property identifier the request that the answer belongs to, null if the answer names none
 * @property notRun whether the instance states that it did not run the request
 * @property misdirected whether the instance states that it is not the intended one, or does not hold the model
 * @property signed whether the answer carries the instance's signature
 * @property claimsNotRun whether the status alone would tell a caller that the request did not run
 * @property resultCode the number of the result that a node states, null if an instance answered
 * @property load load that the instance reported, null if it reported none
 */
public data class AnswerMetadata(
    val identifier: String?,
    val notRun: Boolean,
    val misdirected: Boolean,
    val signed: Boolean,
    val claimsNotRun: Boolean,
    val load: ReportedLoad?,
    val resultCode: Int? = null,
)
