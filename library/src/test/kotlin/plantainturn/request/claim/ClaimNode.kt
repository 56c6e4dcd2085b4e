package plantainturn.request.claim

import kotlinx.collections.immutable.persistentListOf
import plantainturn.connection.log.AdvancingPause
import plantainturn.connection.log.LogService
import plantainturn.connection.log.SnapshotSettings
import plantainturn.process.time.VirtualTimerService
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.TeamName
import java.util.concurrent.CompletableFuture

/** The [LogClaimService] of one node, stepped by a test. */
class ClaimNode(
    log: LogService,
    incarnation: String,
    val timer: VirtualTimerService = VirtualTimerService(),
    settings: ClaimSettings = ClaimSettings(),
    snapshots: SnapshotSettings = SnapshotSettings(),
) {
    val pause = AdvancingPause(timer)
    val service = LogClaimService(log, incarnation, timer, pause, settings, snapshots).apply { step() }

    /** Claims [key] and steps until the claim is decided. */
    fun claim(
        key: ClaimKey,
        fingerprint: String = "content",
    ): ClaimResult = decided(service.claimAsync(key, fingerprint))

    /** Steps until [result] is complete. */
    fun decided(result: CompletableFuture<ClaimResult>): ClaimResult {
        while (!result.isDone) {
            service.step()
            timer.advance(STEP)
        }
        return result.join()
    }

    private companion object {
        val STEP = ClaimSettings().retryPause
    }
}

/** Returns a key of the team and service that all claim tests use. */
fun claimKey(key: String): ClaimKey = ClaimKey(TeamName("refunds"), ServiceName("ledger"), key)

/** Returns an outcome with [body]. */
fun answered(body: String = "b2s="): ClaimOutcome.Answered = ClaimOutcome.Answered(200, persistentListOf(), body)
