package plantainturn.request.service

/** Runs callers' calls to plain services. */
public fun interface ServiceHandler {
    /** Runs [request] on the calling thread. Throws nothing. */
    public fun handle(request: ServiceRequest): ServiceOutcome
}
