package plantainturn.connection.upstream

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [PollingUpstreamDirectory].
 *
 * @property period the time between two polls of an upstream
 * @property watchersPerUpstream nodes that poll an upstream; the others hear of it from them
 * @property publishPeriod the time between two reports of an upstream that its watchers tell the others
 * @property vmListPeriod the time between two reads of the VM list, all nodes together at most [vmListReadsPerSecond]
 * @property failureLimit polls that must fail in a row before an upstream is suspected
 * @property exchangeFailureLimit weight of failed exchanges from which an upstream is suspected
 * @property failureHalfLife the time in which that weight halves
 * @property hangLimit the time without an answer to a poll from which an upstream is suspected
 * @property slowFactor how many times slower than the median an upstream must answer polls to be suspected
 * @property slowFloor the time below which no answer counts as slow
 */
public data class DirectorySettings(
    val period: Duration = 250.milliseconds,
    val watchersPerUpstream: Int = Int.MAX_VALUE,
    val publishPeriod: Duration = 5.seconds,
    val vmListPeriod: Duration = 1.seconds,
    val vmListReadsPerSecond: Int = 8,
    val failureLimit: Int = 2,
    val exchangeFailureLimit: Double = 2.5,
    val failureHalfLife: Duration = 4.seconds,
    val hangLimit: Duration = 800.milliseconds,
    val slowFactor: Double = 8.0,
    val slowFloor: Duration = 300.milliseconds,
)
