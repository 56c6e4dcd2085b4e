package plantainturn.connection.roster

import plantainturn.version.configuration.UpstreamName

/**
 * Identifies one run of an instance; a server that restarts under the same name begins another run.
 *
 * @property startedAt start time in Unix milliseconds, null if the entry does not contain it
 */
public data class InstanceRun(
    val name: UpstreamName,
    val startedAt: Long?,
)
