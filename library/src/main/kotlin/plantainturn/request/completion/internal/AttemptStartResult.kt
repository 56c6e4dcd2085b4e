package plantainturn.request.completion.internal

import plantainturn.connection.upstream.SendPermit
import plantainturn.connection.upstream.UpstreamView
import plantainturn.request.admission.AdmissionRefusal

/** What came of waiting for the start of an attempt. */
internal sealed interface AttemptStartResult {
    /** The attempt goes to [view] under [permit]. */
    class Started(
        val view: UpstreamView,
        val permit: SendPermit,
    ) : AttemptStartResult

    /** The attempt is not made. */
    class Refused(
        val refusal: AdmissionRefusal,
    ) : AttemptStartResult
}
