package plantainturn.request.service

/** Handles requests to plain services. */
public fun interface ServiceHandler {
    /** Runs [request] on the calling thread. Does not throw. */
    public fun handle(request: ServiceRequest): ServiceOutcome
}
