package plantainturn.daemon.settings

import kotlinx.serialization.Serializable

/**
 * How to reach one of the platform's services.
 *
 * @property url base URL with an IP number
 * @property timeoutMilliseconds the time after which a call counts as unanswered
 */
@Serializable
public data class PlatformSettings(
    val url: String,
    val timeoutMilliseconds: Long = DEFAULT_TIMEOUT_MILLISECONDS,
) {
    private companion object {
        const val DEFAULT_TIMEOUT_MILLISECONDS = 2_000L
    }
}
