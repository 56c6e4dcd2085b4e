package plantainturn.request.completion.internal

import plantainturn.connection.upstream.SendPermit
import plantainturn.connection.upstream.UpstreamView
import plantainturn.request.admission.AdmissionRefusal

/** The result of waiting for the start of an attempt. */
internal sealed interface AttemptStartResult {
    /** The attempt may be sent to [view] with [permit], which must be ended. */
    class Started(
        val view: UpstreamView,
        val permit: SendPermit,
    ) : AttemptStartResult

    /** The attempt must not be made. */
    class Refused(
        val refusal: AdmissionRefusal,
    ) : AttemptStartResult
}
