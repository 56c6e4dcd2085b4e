package plantainturn.relay.request

import plantainturn.request.RequestIdentifier

/** Asks other nodes which software version began a stream. */
internal interface StreamOriginClient {
    /** Looks up [stream] and calls [done] when the origin is known here, or can't be learned now. */
    fun find(
        stream: RequestIdentifier,
        done: () -> Unit,
    )
}
