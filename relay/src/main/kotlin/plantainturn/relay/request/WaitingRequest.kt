package plantainturn.relay.request

import plantainturn.version.configuration.ModelName
import plantainturn.version.route.ClientAccountName

/** A request that waits for a model or adapter to be resident. */
internal interface WaitingRequest {
    /** Urgency rank of the request; 0 is the most urgent. */
    val urgency: Int

    /** The account that held the request's key at the last look-up, null if there is none. */
    val accountName: ClientAccountName?

    /** The model that the request waits for, null if it waits for none. */
    val awaitedModel: ModelName?

    /** Tries again to dispatch the request. Returns whether it was sent, or asks for a place now. */
    fun retryDispatch(): Boolean

    /** Ends the request because this node stops. */
    fun onStopping()
}
