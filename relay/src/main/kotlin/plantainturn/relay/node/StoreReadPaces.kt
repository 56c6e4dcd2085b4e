package plantainturn.relay.node

import plantainturn.connection.roster.RosterTimes
import plantainturn.connection.store.ReadPace
import plantainturn.relay.peer.ExchangeTiming
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Determines how often a node reads each topic of the store.
 *
 * Each call is billed, so only the issuer reads often; it informs the others, which keep one long read outstanding. A
 * node that no issuer informs reads by itself, as often as the bounds on the age of its view require and no more often.
 *
 * @param times divides the time within which requests to an instance that left must end
 */
internal class StoreReadPaces(
    private val times: RosterTimes,
) {
    /** Returns the pace for the topic of the configuration, of which a read hears at once unless it went silent. */
    fun configuration(reader: StoreReader): ReadPace =
        when (reader) {
            StoreReader.ISSUER -> ReadPace(SHORT_WAIT, SHORT_REST, PROBED_RETRY_PAUSE)
            StoreReader.INFORMED -> ReadPace(LONG_WAIT, times.readPause, INFORMED_RETRY_PAUSE)
            StoreReader.ALONE -> ReadPace(ALONE_WAIT, SHORT_REST, PROBED_RETRY_PAUSE)
        }

    /**
     * Returns the pace for the topic of the instances, in which heartbeats end each read at once.
     *
     * The issuer's wait and rest and one exchange together stay below the age from which the others read by themselves.
     *
     * @param nodes the number of nodes that the issuer informs
     */
    fun instances(
        reader: StoreReader,
        nodes: Int,
    ): ReadPace =
        when (reader) {
            StoreReader.ISSUER -> {
                val cycle = times.peerReadTimeout - ExchangeTiming.period(nodes) - ANSWER_TIME
                val rest = (cycle - MINIMUM_WAIT).coerceIn(SHORT_REST, ISSUER_REST)
                ReadPace((cycle - rest).coerceIn(MINIMUM_WAIT, SHORT_WAIT), rest)
            }
            StoreReader.INFORMED ->
                ReadPace(LONG_WAIT, HINTED_REST, INFORMED_RETRY_PAUSE, isInformedByPeer = true)
            StoreReader.ALONE -> ReadPace(SHORT_WAIT, times.readPause)
        }

    /** Returns the pace for crash evidence, which is rare and completes a waiting read. */
    fun crashEvidence(reader: StoreReader): ReadPace =
        when (reader) {
            StoreReader.INFORMED ->
                ReadPace(LONG_WAIT, HINTED_REST, INFORMED_RETRY_PAUSE, isInformedByPeer = true)
            StoreReader.ISSUER, StoreReader.ALONE ->
                ReadPace(CRASH_EVIDENCE_WAIT, CRASH_EVIDENCE_REST, PROBED_RETRY_PAUSE)
        }

    private companion object {
        /** Half of the shortest time within which a change must take effect. */
        val SHORT_WAIT: Duration = 800.milliseconds
        val SHORT_REST: Duration = 200.milliseconds

        /** Bounds how long a read that went silent delays a configuration, which is due within 3 s. */
        val ALONE_WAIT: Duration = 1_500.milliseconds

        /** Heartbeats end a read at once, so the rest alone bounds the issuer's calls. */
        val ISSUER_REST: Duration = 400.milliseconds
        val MINIMUM_WAIT: Duration = 500.milliseconds
        val ANSWER_TIME: Duration = 100.milliseconds

        /** Changes are learned sooner from the issuer's hints. */
        val LONG_WAIT: Duration = 25.seconds

        /** Pause between a node's own reads while it relies on the issuer, in case the issuer misses a change. */
        val HINTED_REST: Duration = 15.seconds

        /** A store that refuses this node refuses it for seconds, in which the issuer informs it. */
        val INFORMED_RETRY_PAUSE: Duration = 4.seconds

        /** While the store is away, reads of the instances probe it for all topics. */
        val PROBED_RETRY_PAUSE: Duration = 2.seconds

        /** With the time to write crash evidence, shorter than the time within which all nodes must know it. */
        val CRASH_EVIDENCE_WAIT: Duration = 2.seconds
        val CRASH_EVIDENCE_REST: Duration = 500.milliseconds
    }
}
