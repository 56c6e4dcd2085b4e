package plantainturn.relay.request

import kotlinx.collections.immutable.toPersistentList
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.request.quarantine.RequestTraits

/** Names what of a caller's request crashes of instances may be attributed to. */
internal object RelayRequestTraits {
    /** Returns the traits of [request]. The last part of a prompt belongs to the request or its session alone. */
    fun of(request: RelayRequest): RequestTraits {
        val head = request.source.head
        val body = request.source.body
        val bytes = ByteArray(body.readableBytes()).also { body.getBytes(body.readerIndex(), it) }
        val fingerprint = RequestFingerprint.of(head.method().name(), request.host, head.uri(), bytes)
        val shared =
            request.demand
                ?.parts
                .orEmpty()
                .dropLast(1)
        val bounded = shared.take(RequestLimits.MAXIMUM_TRAIT_PARTS)
        val parts = bounded.map { RequestFingerprint.ofPart(it.identifier) }
        return RequestTraits(fingerprint, parts.toPersistentList())
    }
}
