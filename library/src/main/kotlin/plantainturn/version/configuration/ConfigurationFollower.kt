package plantainturn.version.configuration

import plantainturn.connection.log.FollowLoop
import plantainturn.connection.log.LogRecordSource
import plantainturn.connection.log.LogService
import plantainturn.connection.log.LoopThread
import plantainturn.connection.log.Pause
import plantainturn.connection.log.PeerRecordStore
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.StreamFollower
import plantainturn.connection.log.StreamName
import plantainturn.connection.log.StreamPosition
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Keeps this node at the configuration in force.
 *
 * It follows the configuration's stream on the log by long poll, and takes exact records from peers while the log does
 * not help or when a peer is heard to be ahead.
 *
 * @param log the platform's log
 * @param pause waits between tries while the log does not answer
 * @param peers the peers that may have records of the stream
 */
public class ConfigurationFollower(
    log: LogService,
    pause: Pause,
    peers: () -> List<RecordSource> = { emptyList() },
) : ConfigurationSource {
    private val listeners = CopyOnWriteArrayList<(NumberedConfiguration) -> Unit>()
    private val heard = ArrayBlockingQueue<ConfigurationVersion>(1)
    private val verdictListeners = CopyOnWriteArrayList<(PatchVerdict) -> Unit>()

    /** The records that this node passes on to peers. */
    public val records: PeerRecordStore = PeerRecordStore()

    /** The fold of the stream. */
    public val stream: StreamFollower<ConfigurationState, PatchVerdict> =
        StreamFollower(StreamName.CONFIGURATION, ConfigurationFold, records, ::onFolded)

    /** The loop that reads the stream; step it, or run its thread. */
    public val loop: FollowLoop =
        FollowLoop(stream, LogRecordSource(log, StreamName.CONFIGURATION), pause, peers)

    @Volatile
    override var current: NumberedConfiguration? = null
        private set

    override fun subscribe(listener: (NumberedConfiguration) -> Unit) {
        listeners += listener
    }

    /** Calls [listener] with the fate of each patch that is read. */
    public fun subscribeVerdicts(listener: (PatchVerdict) -> Unit) {
        verdictListeners += listener
    }

    /**
     * Learns that [version] is in force somewhere, and has the peers asked for records if this node is behind.
     *
     * Does not block. What peers say is a hint; only records change the configuration.
     */
    public fun hearOf(version: ConfigurationVersion) {
        val known = current
        if (known == null || known.version < version) heard.offer(version)
    }

    /** Asks the peers for records if a newer version was heard of. Returns whether it did so. */
    public fun pullHeard(): Boolean {
        val version = heard.poll() ?: return false
        return pull(version)
    }

    /** Returns a thread, not yet started, that asks peers as soon as a newer version is heard of. */
    public fun pullThread(name: String): LoopThread = LoopThread(name) { pull(heard.take()) }

    private fun pull(version: ConfigurationVersion): Boolean {
        val known = current
        if (known != null && known.version >= version) return false
        loop.pull()
        return true
    }

    private fun onFolded(
        position: StreamPosition<ConfigurationState>,
        verdicts: List<PatchVerdict>,
        caughtUp: Boolean,
    ) {
        publish(position.state.current, caughtUp)
        for (verdict in verdicts) verdictListeners.forEach { it(verdict) }
    }

    private fun publish(
        next: NumberedConfiguration,
        caughtUp: Boolean,
    ) {
        val known = current
        if (known == null && !caughtUp) return
        if (known != null && next.version <= known.version) return
        current = next
        listeners.forEach { it(next) }
    }
}
