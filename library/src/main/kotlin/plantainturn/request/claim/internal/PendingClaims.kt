package plantainturn.request.claim.internal

import plantainturn.connection.log.RecordIdentifier
import plantainturn.request.claim.ClaimEntry
import plantainturn.request.claim.ClaimResult
import java.util.concurrent.CompletableFuture

/**
 * The claims of this node that were asked for and are not decided.
 *
 * A claim is decided once: either by what was read back or by being given up, whichever comes first. A claim that was
 * given up is remembered, so that it is released should it be granted later. Results are completed outside the lock,
 * so a result may become visible a little after the decision.
 */
internal class PendingClaims {
    private val undecided = HashMap<RecordIdentifier, PendingClaim>()
    private val givenUp = LinkedHashSet<RecordIdentifier>()

    /** The claims that wait for a decision. */
    val requests: List<ClaimEntry.Request>
        @Synchronized get() = undecided.values.map { it.request }

    /** Adds [request] and returns its result to come. */
    fun add(request: ClaimEntry.Request): CompletableFuture<ClaimResult> {
        val item = PendingClaim(request, CompletableFuture())
        synchronized(this) { undecided[request.claim] = item }
        return item.result
    }

    /** Decides [claim] by [result], unless it is decided. Returns whether it was this call that did so. */
    fun decide(
        claim: RecordIdentifier,
        result: ClaimResult,
    ): Boolean {
        val item = synchronized(this) { undecided.remove(claim) } ?: return false
        item.result.complete(result)
        return true
    }

    /** Gives up [claim], unless it is decided. Returns whether it was this call that did so. */
    fun giveUp(
        claim: RecordIdentifier,
        reason: String,
    ): Boolean {
        val item = synchronized(this) { markGivenUp(claim) } ?: return false
        item.result.complete(ClaimResult.Unavailable(reason))
        return true
    }

    /** Whether [claim] was given up. */
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
