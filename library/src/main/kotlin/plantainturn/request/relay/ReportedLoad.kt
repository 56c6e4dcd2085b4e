package plantainturn.request.relay

/** What an instance said of its load with an answer. */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val concurrency: Int,
)
