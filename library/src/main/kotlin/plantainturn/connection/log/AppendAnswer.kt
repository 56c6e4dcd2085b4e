package plantainturn.connection.log

import kotlinx.serialization.Serializable

/** The log service's answer to an append that took effect. */
@Serializable
public data class AppendAnswer(
    val offset: LogOffset,
)
