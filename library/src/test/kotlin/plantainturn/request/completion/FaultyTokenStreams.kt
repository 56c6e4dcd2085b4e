package plantainturn.request.completion

import plantainturn.connection.engine.GenerationEnd
import plantainturn.connection.engine.TokenChunk
import plantainturn.connection.engine.TokenReceiver
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import kotlin.random.Random

/**
 * Streams the attempts of one answer with random faults.
 *
 * Chunks are delayed, reordered, duplicated, lost or belong to other requests and attempts, and a stream may claim a
 * wrong total number of tokens at its end.
 */
class FaultyTokenStreams(
    private val random: Random,
    private val request: RequestIdentifier,
) {
    val answer: List<String> = List(random.nextInt(0, 30)) { "own-$it" }

    /** The total number of tokens that the last finished attempt claimed. */
    var claimedTotal = -1
        private set
    private val earlier = mutableListOf<TokenChunk>()

    fun run(
        attempt: AttemptNumber,
        from: Int,
        receiver: TokenReceiver,
    ): GenerationEnd {
        val own = (from until answer.size).map { TokenChunk(request, attempt, it, answer[it]) }
        val sent = own.flatMap(::injectFault).toMutableList()
        reorder(sent)
        val kept = if (random.nextInt(3) == 0) sent.take(random.nextInt(sent.size + 1)) else sent
        earlier += own
        for (chunk in kept) {
            if (!receiver.receive(chunk)) return GenerationEnd.Stopped
        }
        return end(kept.size < sent.size)
    }

    private fun injectFault(chunk: TokenChunk): List<TokenChunk> =
        when (random.nextInt(10)) {
            0 -> listOf(chunk, chunk)
            1 -> listOf(chunk.copy(request = RequestIdentifier("foreign"), text = "foreign"), chunk)
            2 -> listOf(chunk.copy(attempt = AttemptNumber(chunk.attempt.value + 1), text = "other attempt"), chunk)
            3 -> earlier.shuffled(random).take(2).map { it.copy(text = "late ${it.text}") } + chunk
            4 -> if (random.nextInt(4) == 0) emptyList() else listOf(chunk)
            else -> listOf(chunk)
        }

    private fun reorder(chunks: MutableList<TokenChunk>) {
        repeat(random.nextInt(4)) {
            if (chunks.size < 2) return
            val from = random.nextInt(chunks.size)
            val to = (from + random.nextInt(6)).coerceAtMost(chunks.size - 1)
            chunks.add(to, chunks.removeAt(from))
        }
    }

    private fun end(broken: Boolean): GenerationEnd {
        if (broken && random.nextBoolean()) return GenerationEnd.Broken("cut")
        claimedTotal = if (random.nextInt(8) == 0) random.nextInt(0, 40) else answer.size
        return GenerationEnd.Finished(claimedTotal, "stop")
    }
}
