package plantainturn.daemon.command

import picocli.CommandLine.Command
import plantainturn.platform.UsersPlatform
import plantainturn.relay.node.RelayNode
import plantainturn.relay.node.RelaySettings
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Callable
import java.util.jar.JarFile

/** Runs a relay node on loopback for a moment; the build makes a class-data archive of the classes that it loads. */
@Command(
    name = "warm-up",
    hidden = true,
    description = ["Runs a relay node on loopback for a moment, for the build's class-data archive."],
)
internal class WarmUpCommand : Callable<Int> {
    override fun call(): Int {
        loadClasses()
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

    /**
     * Loads the classes that a node uses once requests and peers come.
     *
     * Without them in the archive, each node loads some 400 classes from the jar within the first 2 s of traffic.
     */
    private fun loadClasses() {
        val location = WarmUpCommand::class.java.protectionDomain.codeSource.location
        JarFile(File(location.toURI())).use { jar ->
            jar
                .stream()
                .map { it.name }
                .filter { name -> name.endsWith(CLASS_SUFFIX) && ARCHIVED_PACKAGES.any(name::startsWith) }
                .forEach { load(it.removeSuffix(CLASS_SUFFIX).replace('/', '.')) }
        }
    }

    /** Classes of optional features whose libraries are absent can't be loaded, nor are they used. */
    private fun load(name: String) {
        try {
            Class.forName(name, false, javaClass.classLoader)
        } catch (_: LinkageError) {
            return
        }
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
        const val CLASS_SUFFIX = ".class"
        val ARCHIVED_PACKAGES =
            listOf(
                "plantainturn/connection/",
                "plantainturn/platform/",
                "plantainturn/process/",
                "plantainturn/relay/",
                "plantainturn/request/",
                "plantainturn/version/",
                "io/netty/buffer/",
                "io/netty/channel/",
                "io/netty/handler/codec/",
                "io/netty/util/",
                "kotlin/collections/",
                "kotlin/jvm/",
                "kotlin/random/",
                "kotlin/ranges/",
                "kotlin/sequences/",
                "kotlin/text/",
                "kotlin/time/",
                "kotlinx/collections/immutable/",
                "kotlinx/serialization/",
            )
        const val PORTS = 4
        const val REQUESTS = 20
        const val STOP_SECONDS = 0.5
        const val ANSWER_MILLISECONDS = 2_000
        const val ANSWER_BYTES = 65_536
    }
}
