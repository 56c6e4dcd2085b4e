package plantainturn.request.relay

/**
 * The load that an instance reported with an answer.
 *
 * @property slownessPercent how long work takes on its VM at the moment, 100 as usual; null if it did not say
 */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val concurrency: Int,
    val slownessPercent: Int? = null,
)
