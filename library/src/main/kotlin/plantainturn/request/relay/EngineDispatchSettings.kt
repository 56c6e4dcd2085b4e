package plantainturn.request.relay

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Weights and limits of an [EngineDispatch].
 *
 * @property lowLoadShare fraction of an engine's slots in use below which it counts as having room
 * @property lateTimeShare fraction of the time left within which a late answer must be expected to be worth sending
 * @property lateLoadFactor requests per slot from which on no late work is added
 * @property lateRankOffset what is added to the rank of late work to put it behind work in time; routes have fewer
 *   ranks than this
 * @property slotWait expected wait added by each request beyond the slots
 * @property fullCacheWait expected wait added by a full KV cache: about the time of one short answer
 * @property cacheUseLimit fraction of the KV cache that requests may use before some are preempted
 * @property domainPenalty how much faster an engine in another failure domain must be; traffic between domains costs
 * @property connectPenalty how much faster an engine must be if a connection to it has to be opened first
 * @property prefillShareLimit fraction of an engine's time for prefill above which it gets no long prompts: a step with
 *   prefill takes about twelve times as long as one without, and streams of 300 tokens have 15 s
 * @property prefillRetryAfter time after which an engine that only does prefill has about caught up
 * @property longPrefillTokens prompt tokens from which on prefill slows other requests: half of what one step processes
 * @property prefillPenalty how much faster an engine that only does prefill must be than one that does none
 * @property runningPenalty how much each request at an engine slows the others
 * @property affinityPenalty how much longer a request may wait to reach the preferred copy of a shared prompt
 * @property spreadPenalty how much longer a request that shares no prompt may wait, so that such requests of all nodes
 *   spread over engines that are equally busy: two requests more or less
 * @property balancePenalty how much longer a request may wait for each multiple of the mean prefill of the engines by
 *   which one exceeds [balanceShare]; a cached part that saves more is still used
 * @property balanceShare multiple of the mean prefill up to which an engine counts as equally busy
 * @property failureCost expected loss of time by a request that fails: about the objective of a first event
 * @property minimumRetryAfter the shortest retry delay that a caller is told
 */
public data class EngineDispatchSettings(
    val lowLoadShare: Double = 0.25,
    val lateTimeShare: Double = 0.6,
    val lateLoadFactor: Double = 1.5,
    val lateRankOffset: Int = 5,
    val slotWait: Duration = 40.milliseconds,
    val fullCacheWait: Duration = 400.milliseconds,
    val cacheUseLimit: Double = 0.9,
    val domainPenalty: Duration = 6.milliseconds,
    val connectPenalty: Duration = 10.milliseconds,
    val prefillShareLimit: Double = 1.0,
    val prefillRetryAfter: Duration = 800.milliseconds,
    val longPrefillTokens: Int = 1_024,
    val prefillPenalty: Duration = 100.milliseconds,
    val runningPenalty: Duration = 2.milliseconds,
    val affinityPenalty: Duration = 40.milliseconds,
    val spreadPenalty: Duration = 4.milliseconds,
    val balancePenalty: Duration = 120.milliseconds,
    val balanceShare: Double = 1.2,
    val failureCost: Duration = 600.milliseconds,
    val minimumRetryAfter: Duration = 150.milliseconds,
)
