package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.roster.InstanceRun
import plantainturn.version.configuration.UpstreamName

/**
 * A toInstanceRun of an instance that said in an answer that it leaves, as nodes tell each other.
 *
 * @property startedAt Unix milliseconds of its start, null if its entry does not tell
 */
@Serializable
internal data class RelayedDeparture(
    val instance: String,
    val startedAt: Long?,
) {
    /** Returns the toInstanceRun that this names. */
    fun toInstanceRun(): InstanceRun = InstanceRun(UpstreamName(instance), startedAt)

    companion object {
        /** Returns what to tell of [run]. */
        fun of(run: InstanceRun): RelayedDeparture = RelayedDeparture(run.name.value, run.startedAt)
    }
}
