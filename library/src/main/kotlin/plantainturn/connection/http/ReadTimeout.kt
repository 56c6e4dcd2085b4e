package plantainturn.connection.http

import kotlin.time.Duration

/** Tags a request with the time that its connection may be silent. */
internal class ReadTimeout(
    val duration: Duration,
)
