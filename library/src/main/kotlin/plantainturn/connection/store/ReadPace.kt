package plantainturn.connection.store

import kotlin.time.Duration

/**
 * How often a topic is read.
 *
 * @property wait the longest time that the store holds a read without a record
 * @property rest the time between an answer and the next read
 */
public data class ReadPace(
    val wait: Duration,
    val rest: Duration,
)
