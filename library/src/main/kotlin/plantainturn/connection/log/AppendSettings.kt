package plantainturn.connection.log

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How long appends are tried.
 *
 * @property deadline the time after which an append whose fate is unknown is given up
 * @property retryPause the time between two tries
 */
public data class AppendSettings(
    val deadline: Duration = 5.seconds,
    val retryPause: Duration = 100.milliseconds,
)
