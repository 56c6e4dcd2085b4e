package plantainturn.request.claim

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test
import plantainturn.connection.log.RecordIdentifier
import plantainturn.request.claim.internal.PendingClaims

/** Guards against a claim decided twice when the follower, the deadline and the appender act concurrently. */
class PendingClaimsTest {
    private val claim = RecordIdentifier("a")
    private val pending = PendingClaims()

    init {
        pending.add(ClaimEntry.Request(claim, claimKey("k"), "content"))
    }

    @Operation
    fun grant(): Boolean = pending.decide(claim, ClaimResult.Granted(Claim(claimKey("k"), claim)))

    @Operation
    fun giveUp(): Boolean = pending.giveUp(claim, "deadline")

    @Operation
    fun wasGivenUp(): Boolean = pending.wasGivenUp(claim)

    @Test
    fun `a claim is decided once`() {
        ModelCheckingOptions()
            .threads(2)
            .actorsPerThread(2)
            .actorsBefore(0)
            .actorsAfter(1)
            .iterations(5)
            .invocationsPerIteration(100)
            .check(PendingClaimsTest::class)
    }
}
