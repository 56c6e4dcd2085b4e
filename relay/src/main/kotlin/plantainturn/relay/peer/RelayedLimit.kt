package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.connection.roster.InstanceRun
import plantainturn.connection.roster.LimitStatement
import plantainturn.process.time.Moment
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.milliseconds

/**
 * What an instance said about its limit on requests, as nodes report it to each other.
 *
 * @property startedAt the start of its run in Unix milliseconds, null if the instance's entry does not state it
 * @property requestsPerSecond the limit, null if the instance has lifted it
 * @property askedAge milliseconds since the request was sent that was answered with it
 * @property heardAge milliseconds since that answer arrived
 */
@Serializable
internal data class RelayedLimit(
    val instance: String,
    val startedAt: Long?,
    val requestsPerSecond: Double?,
    val askedAge: Long,
    val heardAge: Long,
) {
    val run: InstanceRun
        get() = InstanceRun(UpstreamName(instance), startedAt)

    /** Returns the statement, which may be as much older as a message between nodes takes. */
    fun toStatement(now: Moment): LimitStatement =
        LimitStatement(
            requestsPerSecond,
            now - askedAge.milliseconds - MAXIMUM_TRANSFER_TIME,
            now - heardAge.milliseconds,
        )

    companion object {
        /** Exchanges that take longer are given up. */
        private val MAXIMUM_TRANSFER_TIME = 500.milliseconds

        /** Returns the serializable form of the [statement] of [run]. */
        fun of(
            run: InstanceRun,
            statement: LimitStatement,
            now: Moment,
        ): RelayedLimit =
            RelayedLimit(
                run.name.value,
                run.startedAt,
                statement.requestsPerSecond,
                (now - statement.askedAt).inWholeMilliseconds,
                (now - statement.heardAt).inWholeMilliseconds,
            )
    }
}
