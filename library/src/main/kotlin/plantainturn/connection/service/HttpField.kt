package plantainturn.connection.service

import kotlinx.serialization.Serializable

/** One HTTP header field. */
@Serializable
public data class HttpField(
    val name: String,
    val value: String,
)
