package plantainturn.request.admission

/** What came of an attempt to start a waiting request. */
public sealed interface StartResult {
    /** The request has what it needs and leaves the queue. */
    public data object Started : StartResult

    /** There is no room now; the request goes on waiting. */
    public data object Busy : StartResult

    /** The request cannot be started and leaves the queue. */
    public data class Refused(
        val refusal: AdmissionRefusal,
    ) : StartResult
}
