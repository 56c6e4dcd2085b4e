package plantainturn.process.control.controller

import kotlinx.serialization.Serializable
import plantainturn.version.placement.PlacementMove

/** A planned move that could not be started, with the [cause] that `dump` shows. */
@Serializable
public data class DeferredMove(
    val move: PlacementMove,
    val cause: String,
)
