package plantainturn.relay.request

import plantainturn.connection.roster.UpstreamInstance
import plantainturn.process.time.Moment

/** Where the parts of an answer come from that is forwarded as it arrives. */
internal interface AnswerSource {
    /** Whether the end of the answer is marked by its length or by chunks, not only by the end of the connection. */
    val isDelimited: Boolean

    /** When the request was written to the source, null if it was not. */
    val sentAt: Moment?

    /** The instance whose software version binds a stream, null if another node sees to that. */
    val origin: UpstreamInstance?

    /** Pauses or resumes reading, as backpressure from a slow caller. */
    fun setReading(reading: Boolean)

    /** Ends the answer as incomplete. */
    fun onBroken(reason: String)
}
