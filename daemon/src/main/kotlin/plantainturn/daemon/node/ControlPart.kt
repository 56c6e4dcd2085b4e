package plantainturn.daemon.node

import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.daemon.settings.NodeSettings
import plantainturn.process.control.controller.Controller
import plantainturn.process.control.controller.ControllerSettings
import plantainturn.process.control.lease.HolderIdentifier
import plantainturn.process.control.lease.LeaseKeeper
import plantainturn.process.control.lease.LeaseSettings
import plantainturn.process.membership.MemberRanking
import plantainturn.process.time.TimerService
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.placement.DemandPlanner
import plantainturn.version.placement.DemandSource
import java.util.concurrent.CountDownLatch
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** What lets this node control its shard of upstreams while it holds the lease. */
internal class ControlPart(
    private val settings: NodeSettings,
    platform: Platform,
    incarnation: String,
    timer: TimerService,
    configuration: ConfigurationSource,
    directory: UpstreamDirectory,
    demand: DemandSource,
    private val ranking: MemberRanking,
) {
    private val executor =
        ThreadPoolExecutor(0, MAXIMUM_THREADS, IDLE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { work ->
            Thread(work, "control").apply { isDaemon = true }
        }
    private val keeper =
        LeaseKeeper(platform.log, settings.shard, HolderIdentifier(incarnation), timer, leaseSettings(), ::rank)
    val controller =
        Controller(
            keeper,
            configuration,
            directory,
            platform.upstreams::engine,
            DemandPlanner(),
            demand,
            timer,
            executor,
            settings = ControllerSettings(orderDelayBound = settings.lease.orderDelayBoundMilliseconds.milliseconds),
        )

    /** Gives the lease back and waits for that, up to a limit. */
    fun stop() {
        val released = CountDownLatch(1)
        controller.stop { released.countDown() }
        released.await(RELEASE_SECONDS, TimeUnit.SECONDS)
    }

    private fun rank(fence: FenceNumber): Int = ranking.rankOfSelf("lease ${settings.shard} $fence")

    private fun leaseSettings(): LeaseSettings {
        val term = settings.lease.termMilliseconds.milliseconds
        return LeaseSettings(
            term = term,
            driftMargin = settings.lease.driftMarginMilliseconds.milliseconds,
            renewalPeriod = term / RENEWALS_IN_A_TERM,
        )
    }

    private companion object {
        const val MAXIMUM_THREADS = 64
        const val IDLE_SECONDS = 30L
        const val RELEASE_SECONDS = 5L
        const val RENEWALS_IN_A_TERM = 4
    }
}
