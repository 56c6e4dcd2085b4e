package plantainturn.replay.world

import plantainturn.process.time.Moment
import plantainturn.replay.engine.Attempt
import plantainturn.replay.trace.TraceRecord
import plantainturn.version.configuration.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request of the trace while it is replayed.
 *
 * @property node the node that the request came to
 * @property baseModel the model itself, or the base model of an adapter
 */
internal class RequestRun(
    val record: TraceRecord.Completion,
    val node: Int,
    val baseModel: ModelName,
    val arrivedAt: Moment,
    val firstTokenTarget: Duration,
    val tokenTargetSeconds: Double,
) {
    var state: RunState = RunState.WAITING
    var attempt: Attempt? = null
    var upstream: UpstreamStatus? = null
    var firstTokenAt: Moment? = null
    var generated: Int = 0
    var slowTokens: Int = 0
    var mayHaveRun: Boolean = false

    /** The upstream that last could not run it, which is not tried again at once. */
    var avoided: UpstreamStatus? = null

    val deadline: Moment
        get() = arrivedAt + record.deadlineMilliseconds.milliseconds
}

/** Where a request is. */
internal enum class RunState { WAITING, SENT, ENDED }
