package plantainturn.relay.request

import plantainturn.request.relay.ReportedLoad

/**
 * What the head of an upstream's answer says beside its status.
 *
 * @property identifier the request that it answers, null if it names none
 * @property notRun whether the instance states that it did not run the request
 * @property misdirected whether it states that it is not the instance meant, or lacks the model
 * @property signed whether it bears the instance's signature
 * @property claimsNotRun whether its status tells a caller that the request did not run
 * @property load what the instance said of its load
 */
public data class AnswerMetadata(
    val identifier: String?,
    val notRun: Boolean,
    val misdirected: Boolean,
    val signed: Boolean,
    val claimsNotRun: Boolean,
    val load: ReportedLoad?,
)
