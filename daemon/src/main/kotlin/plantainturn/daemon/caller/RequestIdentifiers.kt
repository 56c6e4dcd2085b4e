package plantainturn.daemon.caller

import plantainturn.request.RequestIdentifier
import java.util.concurrent.atomic.AtomicLong

/** Makes request identifiers that no other process and no earlier run of this one has made. */
internal class RequestIdentifiers(
    private val incarnation: String,
) {
    private val counter = AtomicLong()

    fun next(): RequestIdentifier = RequestIdentifier("$incarnation-${counter.incrementAndGet()}")
}
