package plantainturn.relay.peer

import kotlinx.serialization.Serializable
import plantainturn.process.control.residence.ResidenceAction
import plantainturn.process.control.residence.UnansweredOrder
import plantainturn.process.time.Moment
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import kotlin.time.Duration.Companion.milliseconds

/**
 * An order that was not answered and may still be executed.
 *
 * @property load whether it loads, not unloads
 * @property remaining milliseconds until it can no longer be executed
 */
@Serializable
internal data class RelayedOrder(
    val engine: String,
    val load: Boolean,
    val model: String,
    val adapter: String? = null,
    val expectedSequence: Long,
    val remaining: Long,
) {
    /** Returns the order, received at [now]. */
    fun toOrder(now: Moment): UnansweredOrder {
        val kind = if (load) ResidenceAction.Kind.LOAD else ResidenceAction.Kind.UNLOAD
        val action = ResidenceAction(kind, ModelName(model), adapter?.let(::ModelName))
        return UnansweredOrder(UpstreamName(engine), action, expectedSequence, now + remaining.milliseconds)
    }

    companion object {
        /** Returns [order] as it is sent at [now]. */
        fun of(
            order: UnansweredOrder,
            now: Moment,
        ): RelayedOrder =
            RelayedOrder(
                order.engine.value,
                order.action.kind == ResidenceAction.Kind.LOAD,
                order.action.model.value,
                order.action.adapter?.value,
                order.expectedSequence,
                (order.expiresAt - now).inWholeMilliseconds,
            )
    }
}
