package plantainturn.daemon.command

import picocli.CommandLine.Command
import plantainturn.platform.UsersPlatform
import plantainturn.relay.node.RelayNode
import plantainturn.relay.node.RelaySettings
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Callable

/** Runs a relay node on loopback for a moment; the build makes a class-data archive of the classes that it loads. */
@Command(
    name = "warm-up",
    hidden = true,
    description = ["Runs a relay node on loopback for a moment, for the build's class-data archive."],
)
internal class WarmUpCommand : Callable<Int> {
    override fun call(): Int {
        val ports = freePorts()
        val callers = ports[0]
        val peers = ports[1]
        val settings =
            RelaySettings(
                node = "warm-up",
                failureDomain = "none",
                callers = "$LOOPBACK:$callers",
                readiness = "$LOOPBACK:${ports[2]}",
                peers = "$LOOPBACK:$peers",
                store = "$LOOPBACK:${ports[3]}",
                stopSeconds = STOP_SECONDS,
            )
        val node = RelayNode(settings) { _, caller, location -> UsersPlatform(caller, location) }
        if (node.start().isNotEmpty()) return ExitStatus.FAILURE
        repeat(REQUESTS) {
            ask(callers, "GET / HTTP/1.1\r\nHost: none\r\nConnection: close\r\n\r\n")
            ask(peers, "GET /metrics HTTP/1.1\r\nHost: none\r\nConnection: close\r\n\r\n")
            ask(peers, "GET /dump HTTP/1.1\r\nHost: none\r\nConnection: close\r\n\r\n")
        }
        node.stop()
        node.close()
        return ExitStatus.SUCCESS
    }

    private fun ask(
        port: Int,
        request: String,
    ) {
        Socket(LOOPBACK, port).use { socket ->
            socket.soTimeout = ANSWER_MILLISECONDS
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().read(ByteArray(ANSWER_BYTES))
        }
    }

    private fun freePorts(): List<Int> {
        val sockets = List(PORTS) { ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)) }
        return sockets.map { socket -> socket.use { it.localPort } }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val PORTS = 4
        const val REQUESTS = 20
        const val STOP_SECONDS = 0.5
        const val ANSWER_MILLISECONDS = 2_000
        const val ANSWER_BYTES = 65_536
    }
}
