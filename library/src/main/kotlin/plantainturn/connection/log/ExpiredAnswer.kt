package plantainturn.connection.log

import kotlinx.serialization.Serializable

/** The log service's answer to a read of records that are no longer kept. */
@Serializable
public data class ExpiredAnswer(
    val oldest: LogOffset,
)
