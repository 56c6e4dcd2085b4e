package plantainturn.request.claim.internal

import plantainturn.connection.log.RecordIdentifier
import plantainturn.request.claim.ClaimEntry
import plantainturn.request.claim.ClaimResult
import java.util.concurrent.CompletableFuture

/**
 * The claims of this node that are not decided yet.
 *
 * A claim is decided exactly once: by the entry read back from the log or by being given up, whichever comes first. A
 * claim that was given up is remembered, so that it can be released if it is granted later. Results are completed
 * outside the lock, so a result may become visible slightly after the decision.
 */
internal class PendingClaims {
    private val undecided = HashMap<RecordIdentifier, PendingClaim>()
    private val givenUp = LinkedHashSet<RecordIdentifier>()

    /** The claims that are not decided yet. */
    val requests: List<ClaimEntry.Request>
        @Synchronized get() = undecided.values.map { it.request }

    /** Adds [request] and returns a future with its result. */
    fun add(request: ClaimEntry.Request): CompletableFuture<ClaimResult> {
        val item = PendingClaim(request, CompletableFuture())
        synchronized(this) { undecided[request.claim] = item }
        return item.result
    }

    /** Completes [claim] with [result], unless it is already decided. Returns whether this call decided it. */
    fun decide(
        claim: RecordIdentifier,
        result: ClaimResult,
    ): Boolean {
        val item = synchronized(this) { undecided.remove(claim) } ?: return false
        item.result.complete(result)
        return true
    }

    /** Gives up [claim], unless it is already decided. Returns whether this call decided it. */
    fun giveUp(
        claim: RecordIdentifier,
        reason: String,
    ): Boolean {
        val item = synchronized(this) { markGivenUp(claim) } ?: return false
        item.result.complete(ClaimResult.Unavailable(reason))
        return true
    }

    /** Returns whether [claim] was given up and is still remembered as such. */
    @Synchronized
    fun wasGivenUp(claim: RecordIdentifier): Boolean = claim in givenUp

    private fun markGivenUp(claim: RecordIdentifier): PendingClaim? {
        val item = undecided.remove(claim) ?: return null
        givenUp += claim
        if (givenUp.size > GIVEN_UP_LIMIT) givenUp.remove(givenUp.first())
        return item
    }

    private class PendingClaim(
        val request: ClaimEntry.Request,
        val result: CompletableFuture<ClaimResult>,
    )

    private companion object {
        const val GIVEN_UP_LIMIT = 16_384
    }
}
