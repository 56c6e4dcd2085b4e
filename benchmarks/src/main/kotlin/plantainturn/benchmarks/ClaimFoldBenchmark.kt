package plantainturn.benchmarks

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.OperationsPerInvocation
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.RecordIdentifier
import plantainturn.request.claim.ClaimEntry
import plantainturn.request.claim.ClaimFold
import plantainturn.request.claim.ClaimKey
import plantainturn.request.claim.ClaimOutcome
import plantainturn.request.claim.ClaimState
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.TeamName

/** Measures what claims cost each node that follows their stream. */
@State(Scope.Benchmark)
public open class ClaimFoldBenchmark {
    /** The number of settled keys in the window. */
    @Param("1000", "16384")
    public var window: Int = 0

    private var state = ClaimState()
    private var record: PersistentList<JsonElement> = persistentListOf()

    /** Fills the window and makes a record of claims and outcomes. */
    @Setup
    public fun prepare() {
        val history = (0 until window).flatMap { runOf("old-$it") }
        state = history.fold(ClaimState()) { before, entry -> ClaimFold.apply(before, entry) }
        val entries = (0 until RUNS).flatMap { runOf("new-$it") }
        record = entries.map { Json.encodeToJsonElement(ClaimEntry.serializer(), it) }.toPersistentList()
    }

    /** Folds a record of claims and outcomes; the figure is for one claim and its outcome. */
    @Benchmark
    @OperationsPerInvocation(RUNS)
    public fun foldRun(): ClaimState = ClaimFold.apply(state, LogOffset.FIRST, record).state

    /** Writes the state of a snapshot. */
    @Benchmark
    public fun encodeSnapshot(): JsonElement = ClaimFold.encode(state)

    private fun runOf(name: String): List<ClaimEntry> {
        val claim = RecordIdentifier("claim of $name")
        val key = ClaimKey(TeamName("refunds"), ServiceName("ledger"), name)
        val outcome = ClaimOutcome.Answered(STATUS, persistentListOf(), "b2s=")
        return listOf(ClaimEntry.Request(claim, key, "content"), ClaimEntry.Settle(claim, key, outcome))
    }

    private companion object {
        const val RUNS = 16
        const val STATUS = 200
    }
}
