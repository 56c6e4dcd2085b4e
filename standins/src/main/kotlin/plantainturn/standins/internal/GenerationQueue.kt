package plantainturn.standins.internal

import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import java.util.PriorityQueue
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The slots of an engine and those that wait for one, the most urgent first. */
internal class GenerationQueue(
    private val slots: Int,
    private val queueLimit: Int,
) {
    private class Waiting(
        val generation: Generation,
        val sequence: Long,
    )

    private val lock = ReentrantLock()
    private val waiting =
        PriorityQueue(compareBy<Waiting>({ it.generation.request.priority }, { it.sequence }))
    private val running = mutableSetOf<Generation>()
    private var nextSequence = 0L

    /** Starts [generation] now or later; returns false if it is not taken. */
    fun submit(generation: Generation): Boolean {
        val startNow =
            lock.withLock {
                if (running.size < slots) {
                    running += generation
                    true
                } else {
                    if (waiting.size >= queueLimit) return false
                    waiting += Waiting(generation, nextSequence++)
                    false
                }
            }
        if (startNow) generation.start()
        return true
    }

    /** Gives the slot of [generation] to the next one. */
    fun finished(generation: Generation) {
        val next =
            lock.withLock {
                waiting.removeIf { it.generation === generation }
                if (!running.remove(generation)) return
                waiting.poll()?.generation?.also(running::add)
            }
        next?.start()
    }

    fun find(
        request: RequestIdentifier,
        attempt: AttemptNumber,
    ): List<Generation> = all().filter { it.request.request == request && it.request.attempt == attempt }

    fun all(): List<Generation> = lock.withLock { running + waiting.map { it.generation } }.toList()

    fun runningCount(): Int = lock.withLock { running.size }

    fun waitingCount(): Int = lock.withLock { waiting.size }

    fun load(): Double = runningCount().toDouble() / slots
}
