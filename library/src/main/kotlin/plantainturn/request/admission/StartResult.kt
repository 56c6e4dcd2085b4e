package plantainturn.request.admission

/** The result of an attempt to start a waiting request. */
public sealed interface StartResult {
    /** The request got its capacity and leaves the queue. */
    public data object Started : StartResult

    /** There is no capacity at the moment; the request keeps waiting. */
    public data object Busy : StartResult

    /** The request cannot be started and leaves the queue. */
    public data class Refused(
        val refusal: AdmissionRefusal,
    ) : StartResult
}
