package plantainturn.version.configuration

import plantainturn.connection.log.FollowLoop
import plantainturn.connection.log.LogRecordSource
import plantainturn.connection.log.LogService
import plantainturn.connection.log.Pause
import plantainturn.connection.log.PeerRecordStore
import plantainturn.connection.log.RecordSource
import plantainturn.connection.log.StreamFollower
import plantainturn.connection.log.StreamName
import plantainturn.connection.log.StreamPosition
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
     * Learns that [version] is in force somewhere, and asks the peers for records if this node is behind.
     *
     * Blocks for as long as the peers take. What peers say is a hint; only records change the configuration.
     */
    public fun hearOf(version: ConfigurationVersion) {
        val known = current
        if (known == null || known.version < version) loop.pull()
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
