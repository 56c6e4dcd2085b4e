package plantainturn.replay.policy

/** Decides what is resident where. */
internal fun interface PlacementPolicy {
    /** Runs every second. */
    fun tick()
}
