package plantainturn.request.relay

import kotlinx.serialization.Serializable
import plantainturn.connection.roster.SoftwareVersion
import plantainturn.request.RequestIdentifier

/**
 * The software version that began a stream.
 *
 * @property stream the caller's attempt that brought the first event
 * @property correction how often the node that began the stream has corrected the version
 */
@Serializable
public data class StreamOrigin(
    val stream: RequestIdentifier,
    val version: SoftwareVersion,
    val correction: Int = 0,
)
