package plantainturn.relay.peer

import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.LimitStatement
import plantainturn.connection.roster.RequestLimitTracker
import plantainturn.process.control.lease.StoreLease
import plantainturn.process.time.TimerService
import plantainturn.relay.http.HttpCall
import plantainturn.relay.http.HttpClient
import plantainturn.request.relay.PermitRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests permits for sends from the issuer of orders, which may be this node. Without an issuer there are none.
 *
 * @param isIssuerMissing returns whether the issuer has been silent for so long that it should not be waited for
 */
internal class PermitClient(
    private val node: String,
    private val lease: StoreLease,
    private val desk: PermitDesk,
    private val limits: RequestLimitTracker,
    private val caller: HttpClient,
    private val timer: TimerService,
    private val isIssuerMissing: () -> Boolean,
) {
    private val logger = LogManager.getLogger("permit")

    /** Passes null to [done] if [request] is granted, otherwise the time after which another request is useful. */
    fun request(
        run: InstanceRun,
        request: PermitRequest,
        done: (Duration?) -> Unit,
    ) {
        val now = timer.now()
        val statement =
            limits.statements[run] ?: LimitStatement(null, now, now).takeIf { request.places != null }
                ?: return done(null)
        val patience = request.latest - now
        val wish =
            PermitWish(
                node,
                RelayedLimit.of(run, statement, now),
                request.urgency,
                (request.inTimeUntil - now).inWholeMilliseconds,
                patience.inWholeMilliseconds,
                request.places,
                request.hold.inWholeMilliseconds,
                request.refusals,
            )
        val answer = { grant: PermitGrant -> done(if (grant.granted) null else grant.wait.milliseconds) }
        if (lease.fence != null) return desk.request(wish, answer)
        val location = lease.holderLocation()
        if (location == null || isIssuerMissing()) return done(PermitDesk.NO_ISSUER_WAIT)
        val body = Json.encodeToString(PermitWish.serializer(), wish).toByteArray()
        caller.call(location, HttpCall(HttpMethod.POST, PATH, body), patience + ANSWER_TIME) { result ->
            val grant = PeerMessage.decode(result, PermitGrant.serializer())
            if (grant == null) logger.info("instance={} event=permit-unanswered result={}", run.name, result)
            answer(grant ?: PermitGrant(granted = false, PermitDesk.NO_ISSUER_WAIT.inWholeMilliseconds))
        }
    }

    internal companion object {
        const val PATH = "/peer/permit"

        /** Many times what a message between nodes takes. */
        private val ANSWER_TIME = 300.milliseconds
    }
}
