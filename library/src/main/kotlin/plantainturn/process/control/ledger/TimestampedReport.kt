package plantainturn.process.control.ledger

import plantainturn.connection.engine.EngineReport
import plantainturn.process.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/**
 * An engine report with the earliest moment, on the clock of this process, at which it can have been taken.
 */
public data class TimestampedReport(
    val report: EngineReport,
    val takenNoEarlierThan: Moment,
) {
    public companion object {
        /**
         * Returns [report], received in answer to a request sent at [askedAt], with its earliest possible moment.
         *
         * The engine sent the report after [askedAt], and the report states its age at that time.
         */
        public fun of(
            report: EngineReport,
            askedAt: Moment,
        ): TimestampedReport = TimestampedReport(report, askedAt - report.ageMilliseconds.milliseconds)
    }
}
