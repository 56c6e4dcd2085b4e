package plantainturn.connection.log

import java.util.concurrent.atomic.AtomicLong

/**
 * Makes record identifiers that no other process makes.
 *
 * @param incarnation names this run of the node; another run, also of the same node, has another one
 */
public class RecordIdentifiers(
    public val incarnation: String,
) {
    private val counter = AtomicLong()

    /** Returns an identifier that was not returned before. */
    public fun next(): RecordIdentifier = RecordIdentifier("$incarnation/${counter.incrementAndGet()}")
}
