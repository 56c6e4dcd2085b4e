package plantainturn.relay.request

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** A complete answer of an instance, with the headers that the caller gets. Whoever takes it must release [body]. */
internal class BufferedAnswer(
    val status: Int,
    val headers: HttpHeaders,
    val body: ByteBuf,
)
