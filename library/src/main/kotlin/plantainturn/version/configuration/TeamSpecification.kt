package plantainturn.version.configuration

import kotlinx.serialization.Serializable

/**
 * A team whose callers share the platform.
 *
 * @property keySha256 lower-case hexadecimal SHA-256 of the key that its callers send as a bearer token
 * @property share the weight of the team when requests of several teams wait
 * @property waitingLimit requests of the team that may wait at one node
 */
@Serializable
public data class TeamSpecification(
    val keySha256: String,
    val share: Int = 1,
    val waitingLimit: Int = DEFAULT_WAITING_LIMIT,
) {
    private companion object {
        const val DEFAULT_WAITING_LIMIT = 256
    }
}
