package plantainturn.request.admission

/** The request behind an [AdmissionTicket]. Its functions are called under a lock and must be short. */
public interface AdmissionListener {
    /** Takes the room that the request needs, if there is any. After [StartResult.Started] nothing more is called. */
    public fun tryStart(): StartResult

    /** Tells that the request is not going to be started. Nothing more is called. */
    public fun refused(refusal: AdmissionRefusal)
}
