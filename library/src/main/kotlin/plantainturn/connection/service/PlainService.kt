package plantainturn.connection.service

/**
 * One upstream that runs a plain service.
 *
 * Calls block the calling thread and throw nothing; every failure is a result.
 */
public fun interface PlainService {
    /** Sends [call] once. */
    public fun call(call: ServiceCall): ServiceResult
}
