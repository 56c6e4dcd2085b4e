package plantainturn.relay.http

import io.netty.channel.EventLoop

/**
 * Shares the event loop's time for decoding among the connections that have bytes waiting.
 *
 * Load pattern: a crowd of connections writes requests that are small in bytes and costly to decode, such as bodies in
 * chunks of one byte. Each connection decodes a bounded part of its bytes and goes to the end of the queue; after
 * [TURNS_PER_ITERATION] turns the event loop reads from sockets again. Confined to [loop].
 */
internal class TurnQueue(
    private val loop: EventLoop,
) {
    private val waiting = LinkedHashSet<RequestGate>()
    private var scheduled = false

    /** Gives [gate] a turn after those that wait already. */
    fun add(gate: RequestGate) {
        waiting += gate
        schedule()
    }

    private fun schedule() {
        if (scheduled || waiting.isEmpty()) return
        scheduled = true
        loop.execute(::runTurns)
    }

    private fun runTurns() {
        scheduled = false
        repeat(minOf(waiting.size, TURNS_PER_ITERATION)) {
            val gate = waiting.first()
            waiting -= gate
            gate.takeTurn()
        }
        schedule()
    }

    private companion object {
        /** At 4 KiB a turn, some 20 ms of decoding chunks of one byte on the weakest VM. */
        const val TURNS_PER_ITERATION = 16
    }
}
