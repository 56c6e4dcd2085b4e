package plantainturn.connection.store

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How often a topic is read.
 *
 * @property wait the longest time that the store holds a read without a record
 * @property rest the time between an answer and the next read
 * @property longestRetryPause the longest pause after a read that failed
 * @property isInformedByPeer whether a peer that hears the store hands on what it reads, so that this node knows the
 *   topic's records although its own reads may fail
 */
public data class ReadPace(
    val wait: Duration,
    val rest: Duration,
    val longestRetryPause: Duration = DEFAULT_RETRY_PAUSE,
    val isInformedByPeer: Boolean = false,
) {
    private companion object {
        /** A node that hears of the topic by its own reads only must notice soon that the store is back. */
        val DEFAULT_RETRY_PAUSE = 750.milliseconds
    }
}
