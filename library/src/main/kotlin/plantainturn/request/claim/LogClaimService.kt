package plantainturn.request.claim

import com.google.common.hash.Hashing
import plantainturn.connection.log.LogService
import plantainturn.connection.log.LoopThread
import plantainturn.connection.log.Pause
import plantainturn.connection.log.SnapshotSettings
import plantainturn.connection.log.SnapshotWriter
import plantainturn.connection.log.StreamName
import plantainturn.connection.log.TimerPause
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.request.claim.internal.ClaimShard
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A [ClaimService] that grants keys by the order of records in the platform's log.
 *
 * A claim is granted only after it was read back as the first one for its key, so a node never dispatches a request
 * that another node may have dispatched. A claim that is not read back in time is given up permanently: its request is
 * never dispatched, and the claim is released as soon as the log accepts the entry.
 *
 * @param incarnation identifies this run of the node, unique among all runs of all nodes
 * @param rank returns the rank of this node among the nodes that it considers alive, from 0, for writing snapshots
 */
public class LogClaimService(
    log: LogService,
    incarnation: String,
    private val timer: TimerService,
    private val pause: Pause = TimerPause(timer),
    private val settings: ClaimSettings = ClaimSettings(),
    snapshots: SnapshotSettings = SnapshotSettings(),
    rank: () -> Int = { 0 },
) : ClaimService,
    AutoCloseable {
    private val shards: List<ClaimShard> =
        List(settings.shards) { ClaimShard(log, streamOf(it), "$incarnation/$it", timer, pause, settings) }
    private val writers =
        shards.map { SnapshotWriter(it.follower, ClaimFold.rule, it.recordAppender, timer, snapshots, rank) }
    private val threads = mutableListOf<LoopThread>()
    private var sweep: TimerSubscription? = null

    /**
     * The number of outcomes, releases and abandonments that are not in the log yet.
     *
     * A planned stop waits until it is zero.
     */
    public val unwrittenEntries: Int
        get() = shards.sumOf { it.unwrittenEntries }

    /** Starts the threads that follow and write the streams. May be called only once. */
    @Synchronized
    public fun start() {
        shards.forEachIndexed { index, shard ->
            threads += shard.loop.thread("claims-follow-$index").start()
            threads += shard.appender.thread("claims-append-$index").start()
            threads += writers[index].thread("claims-snapshot-$index", pause).start()
        }
        sweep = timer.subscribe(SWEEP_PERIOD) { shards.forEach { it.abandonExpired() } }
    }

    /** Stops the threads. Pending claims are given up at their deadlines. */
    @Synchronized
    override fun close() {
        sweep?.cancel()
        threads.forEach { it.close() }
    }

    override fun claim(
        key: ClaimKey,
        fingerprint: String,
    ): ClaimResult = claimAsync(key, fingerprint).join()

    /** Claims [key] as [claim] does, but without blocking. */
    public fun claimAsync(
        key: ClaimKey,
        fingerprint: String,
    ): CompletableFuture<ClaimResult> = shardOf(key).claim(key, fingerprint)

    override fun settle(
        claim: Claim,
        outcome: ClaimOutcome,
    ) {
        shardOf(claim.key).settle(claim, withBodyLimit(outcome))
    }

    override fun release(claim: Claim) {
        shardOf(claim.key).release(claim)
    }

    /** Reads and writes once in every shard, on the calling thread. For tests that do not start the threads. */
    internal fun step() {
        shards.forEach { shard ->
            shard.appender.step()
            shard.loop.step(Duration.ZERO)
            shard.abandonExpired()
        }
        writers.forEach { it.check() }
    }

    private fun withBodyLimit(outcome: ClaimOutcome): ClaimOutcome {
        if (outcome !is ClaimOutcome.Answered) return outcome
        if (outcome.bodyBase64.length <= settings.bodyBytes * BASE64_CHARACTERS / BASE64_BYTES) return outcome
        return outcome.copy(bodyBase64 = "", bodyTruncated = true)
    }

    private fun shardOf(key: ClaimKey): ClaimShard {
        val text = listOf(key.team.value, key.service.value, key.key).joinToString("\n")
        val hash = Hashing.murmur3_32_fixed().hashString(text, Charsets.UTF_8).asInt()
        return shards[Math.floorMod(hash, shards.size)]
    }

    private fun streamOf(index: Int): StreamName = StreamName.claims("$index-of-${settings.shards}")

    private companion object {
        const val BASE64_CHARACTERS = 4
        const val BASE64_BYTES = 3
        val SWEEP_PERIOD = 5.seconds
    }
}
