package plantainturn.request.admission

/** Callbacks of the request behind an [AdmissionTicket]. They are called under a lock and must return quickly. */
public interface AdmissionListener {
    /** Reserves the capacity for the request, if available. After [StartResult.Started], no callback follows. */
    public fun tryStart(): StartResult

    /** Reports that the request will not be started. No callback follows. */
    public fun refused(refusal: AdmissionRefusal)
}
