package plantainturn.daemon.caller

import plantainturn.process.ResultCode
import kotlin.time.Duration

/** Counts how callers' requests end. */
internal fun interface ResultObserver {
    fun observe(
        code: ResultCode,
        elapsed: Duration,
    )
}
