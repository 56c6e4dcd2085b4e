package plantainturn.daemon.peer

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.serialization.json.Json
import plantainturn.connection.log.LogOffset
import plantainturn.connection.log.PeerRecordStore
import plantainturn.connection.log.PeerRecords
import plantainturn.connection.log.StreamName
import plantainturn.process.membership.GossipJson
import plantainturn.process.membership.GossipMembership
import plantainturn.process.membership.HttpPeerTransport
import java.security.MessageDigest
import kotlin.time.Duration

/** The HTTP interface between nodes, on the control address. Every call needs the token that nodes share. */
internal class PeerApi(
    private val peerToken: String,
    private val membership: GossipMembership,
    private val configurationRecords: PeerRecordStore,
) {
    /** Adds the routes for peers to [config]. */
    fun register(config: JavalinConfig) {
        config.routes.post(HttpPeerTransport.PATH) { context -> guarded(context, ::gossip) }
        config.routes.get(RECORDS_PATH) { context -> guarded(context, ::records) }
    }

    private fun guarded(
        context: Context,
        serve: (Context) -> Unit,
    ) {
        val token = context.header(HttpPeerTransport.TOKEN_HEADER).orEmpty()
        if (MessageDigest.isEqual(token.toByteArray(), peerToken.toByteArray())) {
            serve(context)
        } else {
            context.status(HTTP_FORBIDDEN)
        }
    }

    private fun gossip(context: Context) {
        val message = GossipJson.decode(context.body())
        if (message == null) {
            context.status(HTTP_BAD_REQUEST)
            return
        }
        context.contentType(JSON_TYPE)
        context.future {
            val answer = java.util.concurrent.CompletableFuture<Unit>()
            membership.receive(message) { reply ->
                context.result(GossipJson.encode(reply))
                answer.complete(Unit)
            }
            answer
        }
    }

    private fun records(context: Context) {
        val stream = context.queryParam("stream")
        val from = context.queryParam("from")?.toLongOrNull()
        if (stream != StreamName.CONFIGURATION.value || from == null) {
            context.status(HTTP_BAD_REQUEST)
            return
        }
        val answer = PeerRecords.of(configurationRecords.read(LogOffset(from), RECORD_LIMIT, Duration.ZERO))
        context.contentType(JSON_TYPE)
        context.result(Json.encodeToString(PeerRecords.serializer(), answer))
    }

    companion object {
        /** Where a peer reads exact log records. */
        const val RECORDS_PATH = "/peer/records"
        private const val RECORD_LIMIT = 64
        private const val HTTP_BAD_REQUEST = 400
        private const val HTTP_FORBIDDEN = 403
        private const val JSON_TYPE = "application/json"
    }
}
