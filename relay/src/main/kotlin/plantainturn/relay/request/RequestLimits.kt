package plantainturn.relay.request

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times and limits of one request. */
internal object RequestLimits {
    /** The status of a stream that ended without any event. */
    const val OK = 200

    /** The first status that says that the server failed. */
    const val FIRST_SERVER_FAILURE = 500

    /** Stands for an answer whose length is not told. */
    const val UNKNOWN_LENGTH = -1L

    /** Routes don't tell what a request is worth, so that all count alike. */
    const val REQUEST_WORTH = 1.0

    /** Sends of one request at most, those that were refused included; a platform's services have few instances. */
    const val MAXIMUM_ARRIVALS = 4

    /** Less than a round trip and the shortest work. */
    val MINIMUM_USEFUL_TIME = 10.milliseconds

    /** The shortest pause of a suspected instance is over by then. */
    val NO_UPSTREAM_RETRY_AFTER = 300.milliseconds

    /** For a request that ran out of time: the line has moved by then. */
    val DEADLINE_RETRY_AFTER = 100.milliseconds

    /** Another node can serve the caller at once. */
    val STOPPING_RETRY_AFTER = 10.milliseconds

    /** A model of which the configuration does not tell how long its load takes. */
    val MODEL_RETRY_AFTER = 1_500.milliseconds

    /** An adapter whose engines' places are all in use: short requests have ended by then. */
    val ADAPTER_RETRY_AFTER = 1.seconds

    /** Callers come back after a third of the time that they have left at most. */
    const val RETRY_AFTER_DIVISOR = 3

    /** Between two requests for one adapter. */
    val ADAPTER_RETRY_INTERVAL = 60.milliseconds

    /** A connection that was idle for longer may be closed just as the request is sent. */
    val MAXIMUM_IDLE_IF_NOT_REPEATABLE = 2.seconds

    /** For requests that can be sent again, any connection will do. */
    val MAXIMUM_IDLE_IF_REPEATABLE = 20.seconds

    /** An answer that takes this many times its objective is looked for elsewhere. */
    const val SILENCE_OBJECTIVE_FACTOR = 2.5

    /** An instance at its limit takes about this long for a plain request. */
    val MINIMUM_SILENCE_TIMEOUT = 250.milliseconds

    /** Callers abandon a stream after two seconds without an event. */
    val STREAM_SILENCE_TIMEOUT = 1_500.milliseconds

    /** Longer than a backlog that was accepted takes. */
    val MINIMUM_FIRST_EVENT_TIMEOUT = 4.seconds

    /** An instance that answers nobody for this long after a request was sent may have ended under it. */
    val CRASH_SUSPICION_SILENCE = 1_500.milliseconds
}
