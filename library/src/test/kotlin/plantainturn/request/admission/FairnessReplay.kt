package plantainturn.request.admission

import kotlin.random.Random

/**
 * Replays waiting requests of 16 accounts without a network, of which some are hot for a time.
 *
 * In each round of 100 ms, requests arrive, those that have waited for too long end, and as many are served as there
 * are places. A third of the requests asks for a model that is being loaded in the first seconds. Arrivals end with the
 * hot time, so that each order has the same time for what waits then.
 *
 * @param hot accounts that send [factor] times their usual load for [hotRounds]
 * @param capacity places per second, as a multiple of what all accounts usually send
 */
internal class FairnessReplay(
    private val hot: Set<Int>,
    private val factor: Double = 7.5,
    private val hotRounds: Int = 100,
    private val capacity: Double = 1.25,
    private val seed: Int = 1,
) {
    private class Request(
        val account: Int,
        val round: Int,
        val needsLoad: Boolean,
    )

    /**
     * Counts of requests that came while accounts were hot.
     *
     * @property served share of each account's requests that was served, 1 if it sent none
     * @property ofAll share of all requests that was served
     */
    class Result(
        val served: List<Double>,
        val ofAll: Double,
    ) {
        override fun toString(): String = "all=%.2f ".format(ofAll) + served.joinToString(" ") { "%.2f".format(it) }
    }

    /** The order in which requests that wait are served. */
    enum class Order {
        AGE,
        TURNS,

        /** In turns whose number is in proportion to what an account usually sends. */
        USUAL_SHARES,
    }

    /** Plays the load with requests served in [order]. */
    fun play(order: Order): Result {
        val random = Random(seed)
        val queue = FairQueue<Int, Request>()
        val keyOf = { request: Request -> if (order == Order.AGE) 0 else request.account }
        val shareOf = { request: Request ->
            if (order == Order.USUAL_SHARES) (USUAL[request.account] * SHARES_PER_REQUEST).toInt() else 1
        }
        val sent = IntArray(USUAL.size)
        val served = IntArray(USUAL.size)
        val counted = HOT_FROM until HOT_FROM + hotRounds
        var places = 0.0
        for (round in 0 until HOT_FROM + hotRounds + LONGEST_WAIT) {
            for (request in arrivals(round, random)) {
                queue.add(keyOf(request), request, shareOf(request))
                if (request.round in counted) sent[request.account] += 1
            }
            queue.entries.filter { round - it.round >= LONGEST_WAIT }.forEach { queue.remove(keyOf(it), it) }
            places = minOf(places, 1.0) + USUAL.sum() * capacity / ROUNDS_PER_SECOND
            queue.offerEach(compareBy { 0 }) { request ->
                val takes = places >= 1.0 && (!request.needsLoad || round >= LOADED_AT)
                if (takes) {
                    places -= 1.0
                    queue.serve(keyOf(request), request)
                    if (request.round in counted) served[request.account] += 1
                }
                takes
            }
        }
        val shares = sent.indices.map { if (sent[it] == 0) 1.0 else served[it].toDouble() / sent[it] }
        return Result(shares, served.sum().toDouble() / sent.sum())
    }

    private fun arrivals(
        round: Int,
        random: Random,
    ): List<Request> {
        if (round >= HOT_FROM + hotRounds) return emptyList()
        return USUAL
            .flatMapIndexed { account, perSecond ->
                val isHot = account in hot && round in HOT_FROM until HOT_FROM + hotRounds
                val mean = perSecond * (if (isHot) factor else 1.0) / ROUNDS_PER_SECOND
                val count = mean.toInt() + if (random.nextDouble() < mean % 1) 1 else 0
                List(count) { Request(account, round, random.nextInt(MODELS) == 0) }
            }.shuffled(random)
    }

    companion object {
        /** Requests per second of each account: a few large ones, as the quotas of 29,000 to 750,000 tokens. */
        val USUAL: List<Double> =
            listOf(26.0, 18.0, 12.0, 6.0, 4.0, 3.0, 3.0, 2.0, 2.0, 2.0, 1.5, 1.5, 1.0, 1.0, 1.0, 1.0)
        private const val SHARES_PER_REQUEST = 2
        private const val ROUNDS_PER_SECOND = 10
        private const val HOT_FROM = 20
        private const val LOADED_AT = 40

        /** Rounds after which a request that waits ends. */
        private const val LONGEST_WAIT = 30
        private const val MODELS = 3
    }
}
