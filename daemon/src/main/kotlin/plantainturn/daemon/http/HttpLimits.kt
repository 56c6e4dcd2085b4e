package plantainturn.daemon.http

/**
 * The limits of one HTTP server.
 *
 * @property threads threads that read requests
 * @property bodyBytes the largest body of a request
 * @property idleMilliseconds the time without any byte after which a connection with an open request is closed
 */
internal data class HttpLimits(
    val threads: Int,
    val bodyBytes: Long,
    val idleMilliseconds: Long,
)
