package plantainturn.request.service.internal

import plantainturn.request.service.ServiceRequest
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/** Returns a digest of service, method, path and body of [request], so that a retry of the call is recognized. */
internal fun callFingerprint(request: ServiceRequest): String {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.updateWithLength(request.service.value.toByteArray())
    digest.updateWithLength(request.method.toByteArray())
    digest.updateWithLength(request.path.toByteArray())
    digest.updateWithLength(request.body)
    return HexFormat.of().formatHex(digest.digest())
}

private fun MessageDigest.updateWithLength(bytes: ByteArray) {
    update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
    update(bytes)
}
