package plantainturn.version.configuration

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable

/**
 * A plain service that stands beside the model engines.
 *
 * A call may be repeated only when its method is listed in [idempotentMethods].
 *
 * @property upstreams the upstreams that run the service, each of kind [UpstreamKind.SERVICE]
 * @property idempotentMethods HTTP methods, in upper case, whose calls may be sent more than once
 * @property timeoutMilliseconds the time that a call may take
 */
@Serializable
public data class ServiceSpecification(
    val upstreams: SerializableList<UpstreamName>,
    val idempotentMethods: SerializableList<String> = persistentListOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS"),
    val timeoutMilliseconds: Long = DEFAULT_TIMEOUT_MILLISECONDS,
) {
    private companion object {
        const val DEFAULT_TIMEOUT_MILLISECONDS = 10_000L
    }
}
