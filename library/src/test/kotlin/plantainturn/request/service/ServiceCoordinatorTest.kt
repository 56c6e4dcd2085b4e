package plantainturn.request.service

import kotlinx.collections.immutable.persistentListOf
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.service.ServiceResult
import plantainturn.process.Outcome
import plantainturn.process.ResultCode
import plantainturn.request.FakeConfigurationSource
import plantainturn.request.FakeUpstreamDirectory
import plantainturn.request.RequestIdentifier
import plantainturn.request.RequestResources
import plantainturn.request.Samples
import plantainturn.request.SelfAdvancingTimerService
import plantainturn.request.claim.Claim
import plantainturn.request.claim.ClaimKey
import plantainturn.request.claim.ClaimOutcome
import plantainturn.request.claim.ClaimResult
import plantainturn.request.claim.ClaimService
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ServiceCoordinatorTest {
    private val timer = SelfAdvancingTimerService()
    private val calls = mutableListOf<String>()
    private val settled = mutableListOf<ClaimOutcome>()
    private var released = 0
    private val resources = RequestResources(timer)

    @Property(seed = "42", tries = 3_000)
    fun `calls that are not idempotent run at most once and calls reported as not run did not run`(
        @ForAll seed: Long,
    ) {
        val simulation = ServiceSimulation(Random(seed))
        simulation.sendRandomRequests(8)
        simulation.keyExecutions.forEach { (key, count) -> assertEquals(1, count, key) }
        simulation.executions.forEach { (request, count) -> assertTrue(count == 1 || request in simulation.idempotent) }
        simulation.outcomes.forEach { (request, outcome) ->
            val count = simulation.executions[request] ?: 0
            if (outcome.code.outcome == Outcome.NOT_RUN) assertEquals(0, count, "$request ${outcome.code}")
            if (outcome.code == ResultCode.ANSWERED) assertTrue(count >= 1)
            if (outcome.code == ResultCode.ANSWERED_FROM_RECORD) {
                assertEquals(1, simulation.keyExecutions[simulation.keys[request]])
            }
        }
    }

    @Test
    fun `while the log is down a call with a key is refused and an idempotent one still runs`() {
        val coordinator = coordinator(ClaimResult.Unavailable("down"))
        assertEquals(ResultCode.LOG_UNAVAILABLE, coordinator.handle(request("POST", "k")).code)
        assertEquals(ResultCode.ANSWERED, coordinator.handle(request("GET", null)).code)
        assertEquals(listOf("GET"), calls)
    }

    @Test
    fun `each claim result maps to its result code`() {
        val recorded = ClaimOutcome.Answered(201, persistentListOf(), "AQ==")
        val codes =
            listOf(
                ClaimResult.Granted(claim()) to ResultCode.ANSWERED,
                ClaimResult.InProgress to ResultCode.KEY_IN_PROGRESS,
                ClaimResult.Settled(recorded) to ResultCode.ANSWERED_FROM_RECORD,
                ClaimResult.Settled(ClaimOutcome.Unknown) to ResultCode.OUTCOME_UNKNOWN,
                ClaimResult.Reused to ResultCode.KEY_REUSED,
                ClaimResult.Expired to ResultCode.KEY_EXPIRED,
                ClaimResult.Unavailable("down") to ResultCode.LOG_UNAVAILABLE,
            )
        codes.forEach { (result, code) -> assertEquals(code, coordinator(result).handle(request("POST", "k")).code) }
        assertEquals(listOf("POST"), calls)
    }

    @Test
    fun `an answer with a body too large for the record is settled without it`() {
        val granted = ClaimResult.Granted(claim())
        val coordinator = coordinator(granted, ServiceSettings(recordedBodyBytes = 0))
        coordinator.handle(request("POST", "k"))
        val record = assertIs<ClaimOutcome.Answered>(settled.single())
        assertTrue(record.bodyTruncated)
        val replayed = coordinator(ClaimResult.Settled(record)).handle(request("POST", "k"))
        assertEquals(
            "true",
            assertIs<ServiceOutcome.Answered>(replayed)
                .answer.headers
                .single()
                .value,
        )
    }

    @Test
    fun `a claim is released and its call refused if no upstream takes it`() {
        val coordinator = coordinator(ClaimResult.Granted(claim()), upstreams = 0)
        assertEquals(ResultCode.NO_UPSTREAM, coordinator.handle(request("POST", "k")).code)
        assertEquals(1, released)
    }

    @Test
    fun `a stopping node refuses calls and is idle once the last call has been settled`() {
        val coordinator = coordinator(ClaimResult.Granted(claim()))
        coordinator.handle(request("POST", "k"))
        resources.tracker.beginStop()
        assertEquals(ResultCode.STOPPING, coordinator.handle(request("POST", "k")).code)
        assertEquals(0, resources.tracker.inFlight)
    }

    private fun coordinator(
        result: ClaimResult,
        settings: ServiceSettings = ServiceSettings(),
        upstreams: Int = 2,
    ) = ServiceCoordinator(
        configuration = FakeConfigurationSource(Samples.configuration()),
        directory = FakeUpstreamDirectory(Samples.views((1..upstreams).map(Samples::serviceView))),
        connections = { _, _, _ ->
            { call ->
                calls += call.method
                ServiceResult.Answered(200, persistentListOf(), byteArrayOf(1))
            }
        },
        claims = claims(result),
        timer = timer,
        random = Random(1),
        settings = settings,
        resources = resources,
        settlementExecutor = { it.run() },
    )

    private fun claims(result: ClaimResult) =
        object : ClaimService {
            override fun claim(
                key: ClaimKey,
                fingerprint: String,
            ) = result

            override fun settle(
                claim: Claim,
                outcome: ClaimOutcome,
            ) {
                settled += outcome
            }

            override fun release(claim: Claim) {
                released += 1
            }
        }

    private fun claim() = Claim(ClaimKey(Samples.team, Samples.service, "k"), RecordIdentifier("node-1"))

    private fun request(
        method: String,
        key: String?,
    ) = ServiceRequest(
        identifier = RequestIdentifier("r"),
        team = Samples.team,
        service = Samples.service,
        method = method,
        path = "/",
        headers = persistentListOf(),
        body = byteArrayOf(),
        idempotencyKey = key,
        receivedAt = timer.now(),
    )
}
