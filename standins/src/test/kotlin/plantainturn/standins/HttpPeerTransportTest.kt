package plantainturn.standins

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.process.membership.GossipEntry
import plantainturn.process.membership.GossipJson
import plantainturn.process.membership.GossipMessage
import plantainturn.process.membership.HttpPeerTransport
import plantainturn.process.membership.MemberIdentifier
import plantainturn.process.membership.MemberState
import plantainturn.process.membership.PeerResult
import plantainturn.standins.internal.StandInServer
import plantainturn.version.configuration.FailureDomain
import java.util.concurrent.CompletableFuture
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

@Timeout(30)
class HttpPeerTransportTest {
    private val transport = HttpPeerTransport(StandInClient.CLIENT, "secret")

    @Test
    fun `a message and its answer travel whole with the shared secret`() {
        val answer = message("answerer/2")
        var token: String? = null
        var taken: GossipMessage? = null
        StandInServer("127.0.0.1", 0) { config ->
            config.routes.post(HttpPeerTransport.PATH) { context ->
                token = context.header(HttpPeerTransport.TOKEN_HEADER)
                taken = GossipJson.decode(context.body())
                context.result(GossipJson.encode(answer))
            }
        }.use { server ->
            assertEquals(PeerResult.Answered(answer), exchange("http://127.0.0.1:${server.start()}"))
        }
        assertEquals("secret", token)
        assertEquals(message("asker/1"), taken)
    }

    @Test
    fun `errors, foreign answers and silence are failures`() {
        StandInServer("127.0.0.1", 0) { config ->
            config.routes.post("/refusing/peer/gossip") { it.status(401) }
            config.routes.post("/foreign/peer/gossip") { it.result("hello") }
        }.use { server ->
            val address = "http://127.0.0.1:${server.start()}"
            assertIs<PeerResult.Failed>(exchange("$address/refusing"))
            assertIs<PeerResult.Failed>(exchange("$address/foreign"))
        }
        assertIs<PeerResult.Failed>(exchange(closedAddress()))
        assertIs<PeerResult.Failed>(exchange("not an address"))
    }

    private fun exchange(address: String): PeerResult {
        val result = CompletableFuture<PeerResult>()
        transport.exchange(address, message("asker/1"), 5.seconds) { result.complete(it) }
        return result.get()
    }

    private fun message(member: String) =
        GossipMessage(
            GossipEntry.Membership(
                MemberIdentifier(member),
                1,
                MemberState.ALIVE,
                "http://127.0.0.1:1",
                FailureDomain("como"),
            ),
        )
}
