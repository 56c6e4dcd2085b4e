package plantainturn.relay.peer

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import plantainturn.relay.http.InternalHttpResponse
import plantainturn.relay.http.InternalHttpServer
import plantainturn.relay.loop.LoopTask
import plantainturn.relay.loop.LoopWork
import plantainturn.relay.request.RelayMetrics
import plantainturn.relay.residence.ResidenceIssuer
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.ServiceName
import plantainturn.version.configuration.UpstreamName

/** Answers calls of other nodes. */
internal class PeerEndpoint(
    private val hub: PeerHub,
    private val issuer: ResidenceIssuer,
    private val permits: PermitDesk,
    private val streamOrigins: StreamOriginLink,
    private val quotas: QuotaDesk,
    private val metrics: RelayMetrics,
    private val work: LoopWork,
) {
    /** Registers the handlers of peer calls on [server]. */
    fun registerOn(server: InternalHttpServer) {
        server.on("POST ${IssuerLink.EXCHANGE_PATH}") { body, done ->
            work.measure(LoopTask.EXCHANGE) { exchange(body, done) }
        }
        server.on("POST ${IssuerLink.ADAPTER_PATH}") { body, done ->
            val wish = PeerMessage.decode(body, AdapterWish.serializer())
            if (wish == null) done(InternalHttpResponse(BAD_REQUEST)) else grant(wish, done)
        }
        server.on("POST ${StreamOriginLink.ASK_PATH}", ::answerQuestion)
        server.on("POST ${StreamOriginLink.KEEP_PATH}") { body, done ->
            val request = PeerMessage.decode(body, StreamOriginLink.KeepRequest.serializer())
            done(InternalHttpResponse(if (request == null) BAD_REQUEST else streamOrigins.keep(request)))
        }
        server.on("POST ${QuotaClient.PATH}", ::answerQuota)
        server.on("POST ${PermitClient.PATH}") { body, done ->
            val wish = PeerMessage.decode(body, PermitWish.serializer())
            if (wish == null) {
                done(InternalHttpResponse(BAD_REQUEST))
            } else {
                permits.request(wish) { done(answer(PermitGrant.serializer(), it)) }
            }
        }
    }

    private fun exchange(
        body: ByteArray,
        done: (InternalHttpResponse) -> Unit,
    ) {
        metrics.onExchangeBytes(sent = false, "report", body.size)
        val report = PeerMessage.decode(body, NodeReport.serializer())
        if (report == null) {
            done(InternalHttpResponse(BAD_REQUEST))
        } else {
            val answer = answer(IssuerReport.serializer(), hub.exchange(report))
            metrics.onExchangeBytes(sent = true, "answer", answer.body.size)
            done(answer)
        }
    }

    private fun answerQuestion(
        body: ByteArray,
        done: (InternalHttpResponse) -> Unit,
    ) {
        val question = PeerMessage.decode(body, StreamOriginLink.Question.serializer())
        done(
            if (question == null) {
                InternalHttpResponse(BAD_REQUEST)
            } else {
                answer(StreamOriginLink.Answer.serializer(), streamOrigins.answer(question))
            },
        )
    }

    private fun answerQuota(
        body: ByteArray,
        done: (InternalHttpResponse) -> Unit,
    ) {
        val wish = PeerMessage.decode(body, QuotaWish.serializer()) ?: return done(InternalHttpResponse(BAD_REQUEST))
        val answer = quotas.ask(wish)
        done(if (answer == null) InternalHttpResponse(UNAVAILABLE) else answer(QuotaAnswer.serializer(), answer))
    }

    private fun grant(
        wish: AdapterWish,
        done: (InternalHttpResponse) -> Unit,
    ) {
        issuer.wantAdapter(
            ServiceName(wish.service),
            ModelName(wish.model),
            ModelName(wish.adapter),
            wish.candidates.map(::UpstreamName),
        ) { engine -> done(answer(AdapterGrant.serializer(), AdapterGrant(engine?.value))) }
    }

    private fun <T> answer(
        serializer: KSerializer<T>,
        value: T,
    ) = InternalHttpResponse(OK, Json.encodeToString(serializer, value).toByteArray())

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503
    }
}
