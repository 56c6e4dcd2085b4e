package plantainturn.connection.roster

import plantainturn.version.configuration.UpstreamName

/**
 * Names one run of an instance; a server that starts again under the same name begins another one.
 *
 * @property startedAt Unix milliseconds of its start, null if its entry does not tell
 */
public data class InstanceRun(
    val name: UpstreamName,
    val startedAt: Long?,
)
