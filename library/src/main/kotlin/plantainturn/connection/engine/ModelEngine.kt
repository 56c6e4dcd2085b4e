package plantainturn.connection.engine

import kotlinx.collections.immutable.PersistentList
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import kotlin.time.Duration

/**
 * One model engine.
 *
 * Calls block the calling thread and throw nothing; every failure is a result. Implementations may be called from
 * several threads.
 */
public interface ModelEngine {
    /**
     * Runs [request] and gives its tokens to [receiver] on the calling thread.
     *
     * @param silenceLimit the time without any token after which the attempt counts as broken
     */
    public fun generate(
        request: GenerationRequest,
        silenceLimit: Duration,
        receiver: TokenReceiver,
    ): GenerationEnd

    /** Asks the engine to stop an attempt. Nothing is certain afterwards. */
    public fun cancel(
        request: RequestIdentifier,
        attempt: AttemptNumber,
    )

    /** Reads the engine's latest report. */
    public fun report(): EngineReportResult

    /** Sends [order]. */
    public fun order(order: EngineOrder): OrderResult

    /** Reads cache events from sequence number [from] on; empty if there are none or the engine does not answer. */
    public fun cacheEvents(from: Long): PersistentList<CacheEvent>
}
