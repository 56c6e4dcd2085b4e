package plantainturn.daemon.node

import kotlinx.serialization.Serializable
import plantainturn.connection.engine.EngineReport
import plantainturn.connection.upstream.UpstreamView
import plantainturn.process.time.Moment

/**
 * One upstream as a state dump shows it.
 *
 * @property reportAgeMilliseconds how long ago the engine took the report
 */
@Serializable
internal data class UpstreamDump(
    val name: String,
    val leaving: Boolean,
    val suspected: Boolean,
    val reportAgeMilliseconds: Long?,
    val report: EngineReport?,
) {
    companion object {
        /** Returns the dump of [view] at [now]. */
        fun of(
            view: UpstreamView,
            now: Moment,
        ): UpstreamDump =
            UpstreamDump(
                view.name.value,
                view.leaving,
                view.suspected,
                view.reportTakenAt?.let { (now - it).inWholeMilliseconds },
                view.report,
            )
    }
}
