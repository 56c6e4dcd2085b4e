package plantainturn.standins.internal

import plantainturn.process.time.TimerService
import plantainturn.standins.EngineFaults
import plantainturn.standins.EngineStandInSettings
import kotlin.time.Duration

/** What a [Generation] needs of the engine that runs it. */
internal interface GenerationEngine {
    val settings: EngineStandInSettings
    val timer: TimerService

    fun faults(): EngineFaults

    /** Returns the fault that this stream is to have. */
    fun takeStreamFault(): StreamFault

    /** Counts that [generation] began to run; returns whether that crashed the engine. */
    fun began(generation: Generation): Boolean

    fun firstTokenDelay(generation: Generation): Duration

    fun tokenDelay(): Duration

    fun generated(tokens: Int)

    fun resumeMismatch()

    /** Frees the slot of [generation] and its use of [weights]. */
    fun ended(
        generation: Generation,
        weights: HeldWeights,
    )
}
