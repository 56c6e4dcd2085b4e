package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.roster.InstanceRun
import plantainturn.version.configuration.UpstreamName

/**
 * A run of an instance that announced in an answer that it is leaving, as nodes report it to each other.
 *
 * @property startedAt the run's start in Unix milliseconds, null if the instance's entry does not state it
 */
@Serializable
internal data class RelayedDeparture(
    val instance: String,
    val startedAt: Long?,
) {
    /** Returns the run that this identifies. */
    fun toInstanceRun(): InstanceRun = InstanceRun(UpstreamName(instance), startedAt)

    companion object {
        /** Returns the serializable form of [run]. */
        fun of(run: InstanceRun): RelayedDeparture = RelayedDeparture(run.name.value, run.startedAt)
    }
}
