package plantainturn.request.service

import kotlinx.collections.immutable.persistentListOf
import plantainturn.connection.log.RecordIdentifier
import plantainturn.connection.service.ServiceCall
import plantainturn.connection.service.ServiceResult
import plantainturn.request.FakeConfigurationSource
import plantainturn.request.FakeUpstreamDirectory
import plantainturn.request.RequestIdentifier
import plantainturn.request.Samples
import plantainturn.request.SelfAdvancingTimerService
import plantainturn.request.claim.Claim
import plantainturn.request.claim.ClaimKey
import plantainturn.request.claim.ClaimOutcome
import plantainturn.request.claim.ClaimResult
import plantainturn.request.claim.ClaimService
import kotlin.random.Random

/**
 * Simulates several nodes in front of one service, with random failures of calls, nodes and the log.
 *
 * Whenever a node makes an external call, other requests may run first, so that requests interleave at each such point.
 */
class ServiceSimulation(
    private val random: Random,
    services: Int = 3,
) {
    private class NodeCrash : Error()

    private class Held(
        val fingerprint: String,
        var outcome: ClaimOutcome? = null,
    )

    private val timer = SelfAdvancingTimerService()
    private val directory = FakeUpstreamDirectory(Samples.views((1..services).map(Samples::serviceView)))
    private val held = HashMap<ClaimKey, Held>()
    private val nodes = List(3) { node() }
    private var requests = 0
    private var depth = 0

    /** The number of times that the service executed each call. */
    val executions = HashMap<RequestIdentifier, Int>()

    /** The number of times that the service executed calls with each key, without idempotent ones. */
    val keyExecutions = HashMap<String, Int>()
    val outcomes = HashMap<RequestIdentifier, ServiceOutcome>()
    val keys = HashMap<RequestIdentifier, String?>()
    val idempotent = HashSet<RequestIdentifier>()

    fun sendRandomRequests(count: Int) {
        repeat(count) { send() }
    }

    private fun send() {
        val identifier = RequestIdentifier("request-${requests++}")
        val idempotent = random.nextInt(4) == 0
        val key = if (random.nextInt(4) > 0) "key-${random.nextInt(3)}" else null
        keys[identifier] = key.takeIf { !idempotent }
        if (idempotent) this.idempotent += identifier
        val request =
            ServiceRequest(
                identifier = identifier,
                team = Samples.team,
                service = Samples.service,
                method = if (idempotent) "GET" else "POST",
                path = "/orders",
                headers = persistentListOf(),
                body = if (random.nextInt(8) == 0) byteArrayOf(9) else byteArrayOf(1),
                idempotencyKey = key,
                receivedAt = timer.now(),
            )
        depth += 1
        try {
            outcomes[identifier] = nodes.random(random).handle(request)
        } catch (_: NodeCrash) {
            // The caller gets no answer.
        }
        depth -= 1
    }

    private fun interleave() {
        if (depth < 4 && random.nextInt(3) == 0) send()
    }

    private fun node() =
        ServiceCoordinator(
            configuration = FakeConfigurationSource(Samples.configuration(services = 3)),
            directory = directory,
            connections = { _, _, _ -> { call(it) } },
            claims = Claims(),
            timer = timer,
            random = Random(random.nextLong()),
            settlementExecutor = { it.run() },
        )

    private fun call(call: ServiceCall): ServiceResult {
        interleave()
        val result =
            when (random.nextInt(8)) {
                0, 1 -> ServiceResult.Unreachable("refused")
                2 -> ServiceResult.Unknown("lost before it arrived")
                3 -> ServiceResult.Unknown("ran, answer lost").also { execute(call) }
                4 -> {
                    execute(call)
                    throw NodeCrash()
                }
                else -> ServiceResult.Answered(201, persistentListOf(), call.body).also { execute(call) }
            }
        interleave()
        return result
    }

    private fun execute(call: ServiceCall) {
        executions.merge(call.request, 1, Int::plus)
        keys[call.request]?.let { keyExecutions.merge(it, 1, Int::plus) }
    }

    private inner class Claims : ClaimService {
        override fun claim(
            key: ClaimKey,
            fingerprint: String,
        ): ClaimResult {
            interleave()
            if (random.nextInt(8) == 0) return ClaimResult.Unavailable("the log is down")
            val known = held[key]
            if (known == null) {
                held[key] = Held(fingerprint)
                interleave()
                return ClaimResult.Granted(Claim(key, RecordIdentifier("node-1")))
            }
            val outcome = known.outcome
            return when {
                known.fingerprint != fingerprint -> ClaimResult.Reused
                outcome == null -> ClaimResult.InProgress
                else -> ClaimResult.Settled(outcome)
            }
        }

        override fun settle(
            claim: Claim,
            outcome: ClaimOutcome,
        ) {
            held.getValue(claim.key).outcome = outcome
        }

        override fun release(claim: Claim) {
            interleave()
            held.remove(claim.key)
        }
    }
}
