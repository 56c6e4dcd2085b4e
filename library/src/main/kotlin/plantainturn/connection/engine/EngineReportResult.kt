package plantainturn.connection.engine

/** What a request for a report gave. */
public sealed interface EngineReportResult {
    /** The engine answered. */
    public data class Reported(
        val report: EngineReport,
    ) : EngineReportResult

    /** The engine did not answer, or not as an engine does. */
    public data class Unavailable(
        val reason: String,
    ) : EngineReportResult
}
