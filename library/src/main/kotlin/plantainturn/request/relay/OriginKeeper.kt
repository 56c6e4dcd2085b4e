package plantainturn.request.relay

/**
 * A node that keeps origins of other nodes' streams in its memory.
 *
 * @property address where peers reach it
 * @property run distinguishes the runs of nodes at one address, null if it is not known
 */
public data class OriginKeeper(
    val address: String,
    val run: String?,
)
