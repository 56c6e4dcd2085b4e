package plantainturn.version.placement.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import plantainturn.version.configuration.ModelName
import plantainturn.version.placement.internal.Eviction.Companion.FLOOR_COPIES
import java.util.Locale

/** Says for each model and adapter why it is where it is. */
internal fun explain(board: PlacementBoard): PersistentMap<ModelName, String> =
    (board.models + board.adapters).associate { it.name to explain(it) }.toPersistentMap()

private fun explain(model: BoardModel): String {
    val places = model.live.sorted().joinToString { "${it.name} in ${it.domain}" }
    val demand = "%.2f requests/s".format(Locale.ROOT, model.requestsPerSecond)
    return when {
        model.live.isEmpty() -> "On no usable upstream: memory for ${model.memoryMegabytes} MB is not to be had."
        model.live.size < FLOOR_COPIES -> "On $places only: memory allows no second copy; $demand."
        model.live.size == FLOOR_COPIES -> "On $places: the floor of two copies; $demand."
        else -> "On $places: the floor and ${model.live.size - FLOOR_COPIES} more for demand; $demand."
    }
}
