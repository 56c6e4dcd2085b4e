package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineReport
import plantainturn.process.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * A report with the earliest moment, on this process's clock, at which the engine can have taken it.
 */
public data class TimestampedReport(
    val report: EngineReport,
    val takenNoEarlierThan: Moment,
) {
    public companion object {
        /**
         * Returns the reading of [report], which answers a request that was sent at [askedAt].
         *
         * The engine sent the report after [askedAt] and says how old it was then.
         */
        public fun of(
            report: EngineReport,
            askedAt: Moment,
        ): TimestampedReport = TimestampedReport(report, askedAt - report.ageMilliseconds.milliseconds)
    }
}
