package plantainturn.process.control.residence

/**
 * What callers want of one base model, over all nodes.
 *
 * @property worthPerSecond worth of the requests that arrived for it, a fading average over seconds
 * @property engineSharesWanted engines that its requests would keep busy, a fading average over seconds
 * @property waiting requests that wait for it to be resident
 */
public data class ModelPressure(
    val worthPerSecond: Double = 0.0,
    val engineSharesWanted: Double = 0.0,
    val waiting: Int = 0,
) {
    /** Whether anybody has asked for the model lately. */
    public val isWanted: Boolean
        get() = waiting > 0 || worthPerSecond > FORGOTTEN

    private companion object {
        /** A single request fades to this within about ten seconds. */
        const val FORGOTTEN = 0.02
    }
}
