package plantainturn.connection.http

/**
 * Bounds what a server may send on a connection that is no part of the body of the awaited answer.
 *
 * Load pattern: a server in trouble sends bytes without end that are no answer: blank lines, informational or left-over
 * answers one after another, chunks of a byte with long extensions. None of them reaches a limit of a decoder, and a
 * deadline comes only seconds later. Heads, left-over answers and framing count here; the awaited body does not, and
 * lets a part of its own size of framing come with it. Confined to one thread.
 *
 * @param base surplus bytes from a request's sending on, and between two requests
 * @param framingFactor bytes of framing that each byte of the awaited body may bring
 */
public class SurplusBytes(
    private val base: Long = DEFAULT_BASE,
    private val framingFactor: Long = DEFAULT_FRAMING_FACTOR,
) {
    private var received = 0L
    private var body = 0L

    /** Whether the connection is to be closed. */
    public val isExceeded: Boolean
        get() = count > base + framingFactor * body

    /** The bytes since the latest request was sent that are no part of the body of the awaited answer. */
    public val count: Long
        get() = received - body

    /** Begins anew: a request is sent. */
    public fun onRequest() {
        received = 0
        body = 0
    }

    /** Notes that [bytes] came, whatever they are. */
    public fun onReceived(bytes: Int) {
        received += bytes
    }

    /** Notes that [bytes] of those that came were part of the awaited body. */
    public fun onBody(bytes: Int) {
        body += bytes
    }

    private companion object {
        /** Several of the largest heads, or one left-over answer that is short enough to be gathered. */
        const val DEFAULT_BASE = 524_288L

        /** Above the framing of chunks that hold one short event each. */
        const val DEFAULT_FRAMING_FACTOR = 4L
    }
}
