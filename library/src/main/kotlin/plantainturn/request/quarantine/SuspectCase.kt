package plantainturn.request.quarantine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import plantainturn.process.time.Moment

/**
 * The evidence against one fingerprint.
 *
 * @property crashes runs of upstreams at which it broke off
 * @property excused further runs at which it broke off during an outage
 * @property until when the case expires
 */
internal data class SuspectCase(
    val crashes: PersistentList<CrashEvidence> = persistentListOf(),
    val excused: PersistentList<CrashEvidence> = persistentListOf(),
    val quarantined: Boolean = false,
    val until: Moment,
) {
    /** All runs at which it broke off. */
    val breaks: List<CrashEvidence>
        get() = crashes + excused

    /** Returns the case without the runs that [survived]. */
    fun without(survived: Collection<CrashEvidence>): SuspectCase =
        copy(
            crashes = crashes.removeAll(survived),
            excused = excused.removeAll(survived),
        )
}
