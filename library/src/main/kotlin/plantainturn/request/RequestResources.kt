package plantainturn.request

import plantainturn.connection.upstream.UpstreamUsage
import plantainturn.process.time.TimerService
import plantainturn.request.admission.AdmissionQueue
import plantainturn.request.admission.DemandMeter
import plantainturn.request.quarantine.QuarantineRegister
import plantainturn.request.retry.RetryBudget
import plantainturn.request.routing.PrefixCacheIndex
import plantainturn.request.routing.RemoteSends
import plantainturn.version.configuration.FailureDomain

/**
 * The state and services that all requests of one node share.
 *
 * @property ownDomain the failure domain of this node, null if routing should ignore failure domains
 */
public class RequestResources(
    timer: TimerService,
    public val ownDomain: FailureDomain? = null,
    public val remoteSends: RemoteSends = RemoteSends.NONE,
    public val tracker: RequestTracker = RequestTracker(),
    public val usage: UpstreamUsage = UpstreamUsage(),
    public val prefixCache: PrefixCacheIndex = PrefixCacheIndex(),
    public val admission: AdmissionQueue = AdmissionQueue(timer),
    public val demand: DemandMeter = DemandMeter(),
    public val retryBudget: RetryBudget = RetryBudget(),
    public val quarantine: QuarantineRegister = QuarantineRegister(timer),
)
