package plantainturn.daemon.http

import plantainturn.daemon.settings.ListenSettings
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel

/** A bound socket whose port is known before its server starts. */
internal class BoundListener private constructor(
    val channel: ServerSocketChannel,
) {
    /** The TCP port that is bound. */
    val port: Int
        get() = (channel.localAddress as InetSocketAddress).port

    companion object {
        /**
         * Binds the address in [settings].
         *
         * @throws java.io.IOException if it can't be bound
         */
        fun bind(settings: ListenSettings): BoundListener {
            val channel = ServerSocketChannel.open()
            channel.bind(InetSocketAddress(settings.address, settings.port), BACKLOG)
            return BoundListener(channel)
        }

        private const val BACKLOG = 256
    }
}
