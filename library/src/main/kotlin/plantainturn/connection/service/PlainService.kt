package plantainturn.connection.service

/**
 * Calls an upstream that runs a plain service.
 *
 * Calls block the calling thread and throw no exceptions; every failure is a result.
 */
public fun interface PlainService {
    /** Sends [call] at most once. */
    public fun call(call: ServiceCall): ServiceResult
}
