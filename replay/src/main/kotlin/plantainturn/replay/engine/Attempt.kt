package plantainturn.replay.engine

import plantainturn.process.time.Moment
import plantainturn.request.RequestPriority
import plantainturn.version.configuration.ModelName

/** Hears of what becomes of an [Attempt]. */
internal interface AttemptListener {
    /** Called when the attempt gave its first token. */
    fun firstToken(
        attempt: Attempt,
        now: Moment,
    )

    /** Called when the whole answer is there. */
    fun finished(
        attempt: Attempt,
        now: Moment,
    )

    /** Called when the engine died while the attempt waited or ran there. */
    fun broken(
        attempt: Attempt,
        now: Moment,
    )
}

/**
 * One attempt at a request on one engine.
 *
 * @property promptRemaining prompt tokens that are not computed yet, those of a resumed answer included
 * @property answerRemaining tokens of the answer still to come
 * @property tokenTargetSeconds a token later than this after the one before counts as slow
 */
internal class Attempt(
    val target: ModelName,
    val priority: RequestPriority,
    var promptRemaining: Int,
    var answerRemaining: Int,
    val tokenTargetSeconds: Double,
    val listener: AttemptListener,
) {
    var generated: Int = 0
    var slowTokens: Int = 0
    var cancelled: Boolean = false
}
