package plantainturn.request.relay

/** The load that an instance reported with an answer. */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val concurrency: Int,
)
